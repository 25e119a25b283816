"""Opens attempts of resumable streams, a second one beside one without a head."""

from asyncio import FIRST_COMPLETED, Task, create_task, wait

from clementinebend_relay.attempts import STREAM_HEAD_TARGETS, Attempts, OpenAttempt
from clementinebend_relay.event_reader import LATE_CHECK_SECONDS, EventReader
from clementinebend_relay.handovers import (
    ENDED,
    HANDOVER_PAUSE_SECONDS,
    AccompaniedReader,
    SecondAttempt,
    can_hand_over,
)
from clementinebend_relay.progress import CallProgress


class Opening:
    """The wait for the head of a stream's response.

    The attempt whose endpoint sends none in time stays open until another one has
    brought an event. ``look_at`` is when a second attempt may be made at the earliest.
    """

    def __init__(self, attempts: Attempts, progress: CallProgress) -> None:
        self.attempts = attempts
        self.clock = attempts.clock
        self.progress = progress
        progress.waits_for_head = True
        route = progress.admitted.route
        self.head_seconds = STREAM_HEAD_TARGETS * route.latency_target
        self.look_at = self.clock()
        self.second: SecondAttempt | None = None
        self.silent_endpoint = ""
        self.first = self._open()

    async def run(self) -> EventReader | None:
        """Return the attempt with which the stream goes on, or None if there is none.

        A second attempt that is under way is beside the one that is returned.
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
                        self._leave_first()
                        return reader
                elif self.second is None and self._is_due(due):
                    self._begin_second()
        except BaseException:
            self._close()
            raise

    def _close(self) -> None:
        """End both attempts at once, also one whose head has just come."""
        first = self.first
        first.cancel()
        if first.done() and not first.cancelled() and first.exception() is None:
            running = first.result()
            if running is not None:
                EventReader(running, self.clock).close()
        if self.second is not None:
            self.second.end(ENDED)

    def _leave_first(self) -> None:
        """End the first attempt: its endpoint has sent no head in time."""
        self.first.cancel()
        endpoints = self.attempts.dispatcher.endpoints
        state = endpoints.states.get(self.silent_endpoint)
        if state is not None:
            endpoints.on_failure(state, False, True)

    def _open(self) -> Task[OpenAttempt | None]:
        return create_task(self.attempts.next(self.progress))

    async def _wait(self) -> float:
        """Wait for either attempt; return until when at most.

        An attempt that is sent meanwhile is not due before the end of the wait.
        """
        now = self.clock()
        until = min(self.progress.head_due_at, now + self.head_seconds)
        due = max(until, self.look_at)
        if self.second is None:
            await wait([self.first], timeout=max(0.0, due - now))
        else:
            both = (self.first, self.second.task)
            await wait(both, return_when=FIRST_COMPLETED)
        return due

    def _is_due(self, due: float) -> bool:
        """Return whether a second attempt is made; a late look proves nothing."""
        now = self.clock()
        if now < self.progress.head_due_at:
            return False
        self.look_at = now + HANDOVER_PAUSE_SECONDS
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
        return AccompaniedReader(running, self.clock, second)

    async def _second_alone(self, second: SecondAttempt) -> EventReader | None:
        """Return the second attempt once it has a head: the first one has ended."""
        second.is_alone = True
        await wait([second.task])
        return self._on_second_done(second)

    def _on_second_done(self, second: SecondAttempt) -> EventReader | None:
        """Return the second attempt if the stream can go on with it."""
        second.task.result()
        self.second = None
        self.look_at = self.clock() + HANDOVER_PAUSE_SECONDS
        return second.take_reader()
