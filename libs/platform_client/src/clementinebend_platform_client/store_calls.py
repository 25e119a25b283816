"""One call to the platform's store: on which path, and for how long."""

from clementinebend_platform_client.keyed_log import StoreFailure
from clementinebend_platform_client.store_metrics import discarded_bytes
from clementinebend_platform_client.store_paths import MOST_LIMIT, StorePaths
from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_client import (
    Answer,
    HttpClient,
    HttpFailure,
    read_answer,
)

PIECE_SECONDS = MOST_LIMIT
"""Longest pause between two pieces of an answer. Its size sets no limit: a slow link
takes seconds for a large configuration, and would start anew if it were cut off."""

WHOLE_SECONDS = 30.0
"""Time for a whole answer, after which a path that hardly moves is left."""

MAX_STORE_ANSWER_BYTES = 16 * 1024 * 1024
"""Maximum size of a store answer. A read returns 1 MB at most, or one record."""

REFUSED = frozenset((429, 503))
"""Statuses of a store that turns this host away, or has too much to do."""


class StoreCalls:
    """Calls on the path in use; what each shows of it is told to ``paths``."""

    def __init__(self, paths: StorePaths, client: HttpClient) -> None:
        self.paths = paths
        self.client = client

    async def call(
        self, method: str, target: str, body: bytes = b"", wait: float = 0.0
    ) -> Answer | StoreFailure:
        """Call the store, which may hold the answer back for ``wait`` seconds."""
        address = self.paths.current
        sent_at = self.paths.clock()
        limit = self.paths.limit
        # Only the answer may be held back: a host that is gone is left at once.
        opened = await self.client.open(
            method, url_of(address, target), (), body, limit + wait, limit
        )
        if opened.is_error():
            return self._on_silence(address, sent_at, opened.error)
        if not wait:
            self.paths.on_answer(self.paths.clock() - sent_at)
        read = await read_answer(
            opened.ok, WHOLE_SECONDS, PIECE_SECONDS, MAX_STORE_ANSWER_BYTES
        )
        if read.is_error():
            return self._on_silence(address, sent_at, read.error)
        answer = read.ok
        if answer.status in REFUSED:
            return self._failed(address, False, f"refused with {answer.status}")
        return answer

    def _on_silence(
        self, address: Address, sent_at: float, failure: HttpFailure
    ) -> StoreFailure:
        """Take that no whole answer came."""
        if failure.sent:
            self.paths.on_silence()
        discarded_bytes.inc(failure.received)
        seconds = self.paths.clock() - sent_at
        problem = f"{failure.message}, after {seconds:.2f} s"
        return self._failed(address, failure.sent, problem, failure.is_proof)

    def _failed(
        self, address: Address, maybe_done: bool, problem: str, is_proof: bool = True
    ) -> StoreFailure:
        self.paths.on_failure(address, problem, is_proof)
        return StoreFailure(maybe_done, problem)


def url_of(address: Address, target: str) -> str:
    """Return the URL of a path and query at ``address``."""
    return f"http://{address.host}:{address.port}{target}"
