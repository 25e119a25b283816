"""Opens attempts of resumable streams, and a second one if the head is late."""

from asyncio import FIRST_COMPLETED, Task, create_task, wait

from clementinebend_relay.attempts import STREAM_HEAD_TARGETS, Attempts, OpenAttempt
from clementinebend_relay.event_reader import LATE_CHECK_SECONDS, EventReader
from clementinebend_relay.handovers import HANDOVER_PAUSE_SECONDS
from clementinebend_relay.progress import CallProgress
from clementinebend_relay.second_attempts import (
    ENDED,
    HedgedReader,
    SecondAttempt,
    can_hand_over,
)


class Opening:
    """The wait for the head of a stream's response.

    An attempt whose endpoint sends no head in time stays open until another one has
    returned an event. ``next_check_at`` is the earliest time of a second attempt.
    """

    def __init__(self, attempts: Attempts, progress: CallProgress) -> None:
        self.attempts = attempts
        self.clock = attempts.clock
        self.progress = progress
        progress.waits_for_head = True
        route = progress.admitted.route
        self.head_seconds = STREAM_HEAD_TARGETS * route.latency_target
        self.next_check_at = self.clock()
        self.second: SecondAttempt | None = None
        self.silent_endpoint = ""
        self.first = self._open()

    async def run(self) -> EventReader | None:
        """Return the attempt that continues the stream, or None if there is none.

        If a second attempt is in progress, the returned reader owns it.
        """
        try:
            while True:
                due = await self._wait()
                if self.first.done():
                    running = self.first.result()
                    if running is not None:
                        return self._reader(running)
                    if self.second is None:
                        return None
                    reader = await self._second_alone(self.second)
                    if reader is not None:
                        return reader
                    self.first = self._open()
                elif self.second is not None and self.second.task.done():
                    reader = self._on_second_done(self.second)
                    if reader is not None:
                        self._abandon_first()
                        return reader
                elif self.second is None and self._is_due(due):
                    self._begin_second()
        except BaseException:
            self._close()
            raise

    def _close(self) -> None:
        """End both attempts at once, also one whose head has just arrived."""
        first = self.first
        first.cancel()
        if first.done() and not first.cancelled() and first.exception() is None:
            running = first.result()
            if running is not None:
                EventReader(running, self.clock).close()
        if self.second is not None:
            self.second.end(ENDED)

    def _abandon_first(self) -> None:
        """End the first attempt: its endpoint has sent no head in time."""
        self.first.cancel()
        endpoints = self.attempts.dispatcher.endpoints
        state = endpoints.states.get(self.silent_endpoint)
        if state is not None:
            endpoints.on_failure(state, False, True)

    def _open(self) -> Task[OpenAttempt | None]:
        return create_task(self.attempts.next(self.progress))

    async def _wait(self) -> float:
        """Wait for either attempt; return the time at which the wait was to end.

        An attempt sent during the wait is not checked before the wait ends.
        """
        now = self.clock()
        until = min(self.progress.head_due_at, now + self.head_seconds)
        due = max(until, self.next_check_at)
        if self.second is None:
            await wait([self.first], timeout=max(0.0, due - now))
        else:
            both = (self.first, self.second.task)
            await wait(both, return_when=FIRST_COMPLETED)
        return due

    def _is_due(self, due: float) -> bool:
        """Return whether to make a second attempt; late checks are ignored."""
        now = self.clock()
        if now < self.progress.head_due_at:
            return False
        self.next_check_at = now + HANDOVER_PAUSE_SECONDS
        is_late = now - due > LATE_CHECK_SECONDS
        return not is_late and can_hand_over(self.attempts, self.progress)

    def _begin_second(self) -> None:
        progress = self.progress
        self.silent_endpoint = progress.tried[-1]
        self.second = SecondAttempt(
            self.attempts, progress, self.silent_endpoint, progress.sent_at
        )

    def _reader(self, running: OpenAttempt) -> EventReader:
        second, self.second = self.second, None
        if second is None:
            return EventReader(running, self.clock)
        return HedgedReader(running, self.clock, second)

    async def _second_alone(self, second: SecondAttempt) -> EventReader | None:
        """Return the second attempt once it has a head: the first one has ended."""
        second.first_has_ended = True
        await wait([second.task])
        return self._on_second_done(second)

    def _on_second_done(self, second: SecondAttempt) -> EventReader | None:
        """Return the second attempt if it can continue the stream."""
        second.task.result()
        self.second = None
        self.next_check_at = self.clock() + HANDOVER_PAUSE_SECONDS
        return second.take_reader()
