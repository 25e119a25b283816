"""Hands streams whose endpoint is silent over to another one.

The first attempt stays open, as its endpoint may resume. The attempt that returns the
next event first continues the stream, and the other one is closed. Events with neither
data nor a number do not count: they are buffered until another one arrives.
"""

from asyncio import FIRST_COMPLETED, Task, create_task, wait
from collections.abc import Callable

from clementinebend_relay.attempts import Attempts
from clementinebend_relay.event_reader import EventReader
from clementinebend_relay.events import StreamEvent, are_next_events
from clementinebend_relay.progress import CallProgress
from clementinebend_relay.second_attempts import (
    ENDED,
    Events,
    HedgedReader,
    SecondAttempt,
    can_hand_over,
    has_content,
)
from clementinebend_transport.exceptions import TruncatedAnswer

HANDOVER_PAUSE_SECONDS = 0.5
"""Seconds between a failed second attempt and another one.

Doubled after each attempt that was sent to no endpoint, up to the maximum.
"""

MAX_HANDOVER_PAUSE_SECONDS = 4.0

FIRST_CONTINUED = "endpoint spoke again"


class StreamBroken(Exception):  # noqa: N818 - ends the reading of one attempt
    """The stream of an attempt can't be read any further."""


class StreamTakenOver(Exception):  # noqa: N818 - ends the reading of one attempt
    """The stream goes on with another attempt."""

    def __init__(self, reader: EventReader, problem: str) -> None:
        super().__init__(problem)
        self.reader = reader


class Handover:
    """The reading of a stream whose endpoint is silent, until its next event.

    ``on_broken`` records that the first attempt is over, for a reason.
    """

    def __init__(
        self,
        attempts: Attempts,
        progress: CallProgress,
        first: EventReader,
        on_broken: Callable[[str], None],
    ) -> None:
        self.attempts = attempts
        self.clock = attempts.clock
        self.progress = progress
        self.first = first
        self.on_broken = on_broken
        self.second: SecondAttempt | None = None
        if isinstance(first, HedgedReader):
            self.second = first.take_second()
        self.pause = HANDOVER_PAUSE_SECONDS
        self.held: list[StreamEvent] = []
        self.reading = self._read_on()

    async def run(self) -> Events:
        """Return the next events of the first attempt, or None at its end.

        Raises ``StreamTakenOver`` if a second attempt continues the stream, and
        ``StreamBroken`` if the first one breaks off and no second one can.
        """
        if self.second is None:
            self._begin_second()
        try:
            while True:
                due = await self._wait()
                if self.reading.done():
                    events = await self._first_result()
                    if events is None:
                        return self.held or None
                    self.held += events
                    if has_content(events):
                        return self.held
                    self.reading = self._read_on()
                elif self.second is not None and self.second.task.done():
                    self._on_second_done(self.second)
                elif self.second is None and self._is_due(due):
                    self._begin_second()
        finally:
            self.reading.cancel()
            self._end_second(self._outcome_of_first())

    async def _wait(self) -> float:
        """Wait for either attempt; return the time at which the wait was to end."""
        due = self.clock() + self.pause
        if self.second is None:
            await wait([self.reading], timeout=self.pause)
        else:
            both = (self.reading, self.second.task)
            await wait(both, return_when=FIRST_COMPLETED)
        return due

    def _is_due(self, due: float) -> bool:
        return self.first.is_silent(due) and can_hand_over(self.attempts, self.progress)

    def _read_on(self) -> Task[Events]:
        task = create_task(self.first.read(self.progress.deadline))
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        return task

    def _begin_second(self) -> None:
        state = self.first.running.state
        state.check_silence(self.clock())
        self.second = SecondAttempt(
            self.attempts, self.progress, state.endpoint.name, state.heard_at
        )

    async def _first_result(self) -> Events:
        """Return the result of the read of the first attempt."""
        try:
            events = self.reading.result()
        except TimeoutError as error:
            raise StreamBroken("the time limit has passed") from error
        except TruncatedAnswer as error:
            await self._on_first_broken(str(error))
            raise StreamBroken(str(error)) from error
        held_bytes = sum(len(event.data) for event in (*self.held, *(events or ())))
        self.progress.unrelayed_bytes = held_bytes + len(self.first.splitter.rest)
        problem = self._problem(events)
        if problem is not None:
            await self._on_first_broken(problem)
            raise StreamBroken(problem)
        return events

    def _problem(self, events: Events) -> str | None:
        """Return why the first attempt can't continue the stream, None if it can."""
        if events is None:
            has_events = self.progress.attempt_event_at is not None
            return self.first.incomplete_end(has_events)
        if not has_content(events) and self.first.splitter.is_too_large():
            return "an event is too large"
        last_event = self.progress.last_event
        if self.second is not None and not are_next_events(events, last_event):
            return "an event is missing or duplicated"
        return None

    async def _on_first_broken(self, problem: str) -> None:
        """Continue with the second attempt, if it receives the head of a response."""
        self.on_broken(problem)
        self.first.close()
        second = self.second
        if second is None:
            return
        second.first_has_ended = True
        await wait([second.task])
        self._go_on_with(second, problem)

    def _on_second_done(self, second: SecondAttempt) -> None:
        """Continue with the second attempt if it has returned an event."""
        problem = "the endpoint has gone silent"
        if second.reader is not None:
            self.on_broken(problem)
        self._go_on_with(second, problem)

    def _go_on_with(self, second: SecondAttempt, problem: str) -> None:
        """Raise ``StreamTakenOver`` if the second attempt can continue the stream."""
        self.second = None
        reader = second.take_reader()
        if reader is not None:
            raise StreamTakenOver(reader, problem)
        self._adapt_pause(second)

    def _adapt_pause(self, second: SecondAttempt) -> None:
        """Double the pause after a second attempt that was sent to no endpoint."""
        if second.endpoints_tried():
            self.pause = HANDOVER_PAUSE_SECONDS
        else:
            self.pause = min(2 * self.pause, MAX_HANDOVER_PAUSE_SECONDS)

    def _outcome_of_first(self) -> str:
        """Return the outcome of a second attempt that is in progress at the end."""
        done = self.reading
        has_result = done.done() and not done.cancelled() and done.exception() is None
        return FIRST_CONTINUED if has_result else ENDED

    def _end_second(self, outcome: str) -> None:
        second, self.second = self.second, None
        if second is not None:
            second.end(outcome)
