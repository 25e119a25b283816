"""What callers and engines saw, held against what is promised."""

from typing import NamedTuple

from tests.lib.kept_callers import KeptCallers, describe
from tests.lib.platform_engine import EVENTS, WHOLE_STREAM, EngineStandin

MILLISECONDS = 1000
NOT_RUN = frozenset((408, 421, 429, 503))
EVENT_TOKENS = 3


class Seen(NamedTuple):
    """One call as its caller saw it; no status where there was no answer."""

    request_id: str
    path: str
    prompt: int
    status: int | None
    body: bytes

    @property
    def is_stream(self) -> bool:
        """Whether the call asked for a stream."""
        return "stream" in self.path

    @property
    def may_repeat(self) -> bool:
        """Whether it may run more than once."""
        return self.path.startswith(("/safe/", "/stream/"))


def broken_promises(
    calls: list[Seen], engines: list[EngineStandin], prepaid: int
) -> list[str]:
    """Return each promise that does not hold, in words."""
    runs = {call.request_id: _runs(engines, call.request_id) for call in calls}
    problems = [
        f"{call.request_id} {call.path}: {problem}"
        for call in calls
        for problem in _problems(call, runs[call.request_id])
    ]
    spent = sum(map(_delivered, calls))
    if spent > prepaid:
        problems.append(f"{spent} tokens were delivered of {prepaid}")
    known = set(runs)
    for engine in engines:
        problems.extend(
            f"{request.headers['x-request-id']} was run and never asked for"
            for request in engine.requests
            if request.headers["x-request-id"] not in known
        )
        problems.extend(
            f"{request.headers['x-request-id']} ran for another team"
            for request in engine.requests
            if request.headers.get("x-tenant") != "desk"
        )
    return problems


def unanswered(callers: KeptCallers) -> list[str]:
    """Return the whole requests without an answer or refusal from a living entry.

    A stream that has begun is not one of them: its engine may have broken off.
    """
    lost = (
        sent
        for sent in callers.lost()
        if sent.status is None or "stream" not in sent.target
    )
    return [f"unanswered: {problem}" for problem in describe(lost)]


def cut_streams(callers: KeptCallers) -> list[str]:
    """Return the streams that a living entry cut off before their time limit."""
    limit = callers.caller.deadline_ms / MILLISECONDS
    cut = (
        sent
        for sent in callers.lost()
        if sent.status is not None and sent.seconds < limit
    )
    return [f"stream cut: {problem}" for problem in describe(cut)]


def _problems(call: Seen, runs: int) -> list[str]:
    problems = []
    if not call.may_repeat and runs > 1:
        problems.append(f"ran {runs} times")
    if call.status in NOT_RUN and not call.may_repeat and runs:
        problems.append(f"was told {call.status} and has run")
    if call.status == 200 and runs == 0:
        problems.append("was answered and has not run")
    expected = WHOLE_STREAM if call.is_stream else b"whole answer"
    if call.status == 200 and call.body != expected:
        problems.append(f"got {call.body!r}")
    return problems


def _runs(engines: list[EngineStandin], request_id: str) -> int:
    return sum(engine.runs[request_id] for engine in engines)


def _delivered(call: Seen) -> int:
    """Return the tokens that a caller got for certain."""
    if call.status != 200 or not call.is_stream:
        return 0
    return call.prompt + EVENTS * EVENT_TOKENS
