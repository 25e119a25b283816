"""Reads the response of one attempt of a stream, event by event."""

from collections.abc import Callable

from clementinebend_relay.attempts import OpenAttempt
from clementinebend_relay.events import EventSplitter, StreamEvent
from clementinebend_routing.silence import SILENT_SECONDS
from clementinebend_transport.answer_chunks import next_piece

LATE_CHECK_SECONDS = 0.1
"""Delay in seconds above which a check for silence is ignored: bytes may have arrived
that the event loop has not read."""

MAX_LATE_READS = 16
"""Reads after the time limit of a call, for events that had arrived by then."""


class EventReader:
    """The response of one attempt.

    ``ready`` holds events that have been read and not been returned; ``is_ended`` is
    set once the response has been read to its end.
    """

    def __init__(self, running: OpenAttempt, clock: Callable[[], float]) -> None:
        self.running = running
        self.clock = clock
        self.splitter = EventSplitter()
        self.ready: list[StreamEvent] = []
        self.is_ended = False
        self.chunk_count = 0
        """Chunks of the response that have been read."""
        self.content_events = 0
        """Relayed events that have data or a number."""
        self.late_reads = 0

    def may_read_until(self, deadline: float) -> bool:
        """Return whether to read once more, which may only find what has arrived.

        After the deadline, this is so a few times: a sender that always has more does
        not extend it.
        """
        if self.clock() < deadline:
            return True
        self.late_reads += 1
        return self.late_reads <= MAX_LATE_READS

    async def read(self, until: float) -> list[StreamEvent] | None:
        """Return the events that the next chunk completes, or None at the end.

        Raises ``TruncatedAnswer`` if the response breaks off, and ``TimeoutError`` if
        nothing has arrived by ``until``; reading can continue after that.
        """
        if self.ready:
            events, self.ready = self.ready, []
            return events
        if self.is_ended:
            return None
        chunk = await next_piece(self.running.answer.chunks, until)
        if chunk is None:
            self.is_ended = True
            return None
        self.running.state.on_heard(self.clock())
        return self.splitter.feed(chunk, self._new_chunks())

    def _new_chunks(self) -> int:
        """Return how many chunks the last read joined."""
        before, self.chunk_count = self.chunk_count, self.running.answer.chunk_count()
        return self.chunk_count - before

    def is_silent(self, due: float) -> bool:
        """Return whether the endpoint is silent, at a check that was ``due``.

        While this entry is overloaded or late, received bytes may still be unread.
        """
        now, state = self.clock(), self.running.state
        if now - due > LATE_CHECK_SECONDS or state.is_overloaded():
            return False
        if self.running.answer.buffered_bytes():
            return False
        return now - state.heard_at > SILENT_SECONDS

    def incomplete_end(self, has_events: bool) -> str | None:
        """Return why a stream that has ended is incomplete, None if it may be whole.

        The end of the connection alone does not show that no event is missing.
        """
        if self.splitter.rest:
            return "the stream ended within an event"
        if self.running.answer.ends_with_channel and not has_events:
            return "the stream ended before an event"
        return None

    def close(self) -> None:
        """Stop reading, and remove the attempt from those in flight."""
        self.running.answer.close()
        self.running.cleanup.close()
