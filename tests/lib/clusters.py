"""A whole fleet of real processes on loopback, as functional tests use it."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from clementinebend_bench.launcher.fleets import LocalFleet
from clementinebend_records.streams import ledger_stream
from tests.lib.cluster_files import BUDGET, MODEL, PLAIN_PATH, TEAM_KEY, Plan
from tests.lib.http_calls import NO_HEADERS, Called, Caller
from tests.lib.log_readers import ReplayedLedger, replay_ledger
from tests.lib.processes import running_processes

CHAT_PATH = "/v1/chat/completions"
LEDGER_SHARDS = 1
DEFAULT_PLAN = Plan()


class Cluster(LocalFleet):
    """A fleet that the test's team calls, and whose ledger the test reads."""

    async def ask(
        self, entry: str, content: Mapping[str, Any], headers: Mapping[str, str]
    ) -> Called:
        """Send a chat completion to an entry, with the team's key."""
        return await self.call(entry, "POST", CHAT_PATH, content, headers)

    async def book(self, entry: str, key: str, content: Any = b"") -> Called:
        """Send a call that may not be repeated to the plain service."""
        headers = {"idempotency-key": key}
        return await self.call(entry, "POST", PLAIN_PATH, content, headers)

    async def call(
        self,
        entry: str,
        method: str,
        path: str,
        content: Any = None,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> Called:
        """Send a request of the team to an entry."""
        bearer = {"authorization": f"Bearer {TEAM_KEY}"}
        caller = self.caller(entry)
        return await caller.call(method, path, content, {**bearer, **headers})

    async def ledger(self) -> ReplayedLedger:
        """Return what the log says of the budget's ledger now."""
        stream = ledger_stream(BUDGET, LEDGER_SHARDS)
        return await replay_ledger(self.client, self.url("log"), stream)

    def caller(self, name: str) -> Caller:
        """Return a caller of a started process."""
        return Caller(self.client, self.url(name))


def chat(content: str, tokens: int, stream: bool = True) -> dict[str, Any]:
    """Return the body of a chat completion of exactly ``tokens`` tokens."""
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "target_tokens": tokens,
        "stream": stream,
    }


@asynccontextmanager
async def running_cluster(
    directory: Path, plan: Plan = DEFAULT_PLAN
) -> AsyncIterator[Cluster]:
    """Give a cluster that serves; all its processes end with the block."""
    with running_processes(directory) as processes:
        cluster = Cluster(directory, processes, plan)
        try:
            await cluster.start()
            yield cluster
        finally:
            await cluster.client.close()
