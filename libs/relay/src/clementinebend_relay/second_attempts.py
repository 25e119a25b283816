"""A second attempt of a stream, concurrent with one whose endpoint is silent.

Events with neither data nor a number do not count as its first ones: they are buffered
until another one arrives.
"""

from asyncio import Task, create_task
from collections.abc import Callable
from logging import getLogger

from clementinebend_relay.attempts import Attempts, OpenAttempt
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.event_reader import EventReader
from clementinebend_relay.events import StreamEvent, are_next_events, is_empty
from clementinebend_relay.metrics import stream_handovers
from clementinebend_relay.progress import CallProgress, Obstacle
from clementinebend_transport.exceptions import TruncatedAnswer

logger = getLogger(__name__)

SILENCE_CHECK_SECONDS = 0.4
"""Seconds without data on a stream after which its endpoint is checked for silence.

This is half of the longest pause that still counts as good service.
"""

TAKEN_OVER = "taken over"
REFUSED = "refused"
FAILED = "failed"
ENDED = "ended"
"""Outcome of a second attempt that was in progress as the call ended."""

UNSENT_RETRIES = (Obstacle.NO_ENDPOINT, Obstacle.NOT_ALLOWED)
"""Obstacles to an attempt that has been counted as a retry."""

Events = list[StreamEvent] | None


class SecondAttempt:
    """An attempt concurrent with one whose endpoint is silent; has its own progress.

    ``silent_since`` is when the silent endpoint was heard last, or sent the call.
    ``reader`` reads its response once it has a head. Once ``first_has_ended``
    is set, the second attempt may continue the stream before it returns an event.
    """

    def __init__(
        self,
        attempts: Attempts,
        progress: CallProgress,
        silent_endpoint: str,
        silent_since: float,
    ) -> None:
        self.attempts = attempts
        self.clock = attempts.clock
        self.first_progress = progress
        self.progress = progress.for_second_attempt()
        self.silent_endpoint = silent_endpoint
        self.silent_since = silent_since
        progress.has_second = True
        self.tried_before = len(progress.tried)
        self.reader: EventReader | None = None
        self.first_has_ended = False
        self.has_failed = False
        self.began_at = self.clock()
        self.task: Task[None] = create_task(self._run())

    def take_reader(self) -> EventReader | None:
        """Return the reader of the response if the stream can go on with it.

        The progress of the call then describes this attempt.
        """
        reader, self.reader = self.reader, None
        if reader is None:
            self.refund_retry()
            self.end(self.failure())
            return None
        self.end(TAKEN_OVER)
        self.first_progress.adopt_attempt(self.progress)
        return reader

    def end(self, outcome: str) -> None:
        """End the attempt, unless its reader has been taken, and count the outcome."""
        self.close()
        progress = self.first_progress
        progress.has_second = False
        progress.add_attempts(self.progress)
        stream_handovers.labels(progress.admitted.service.name, outcome).inc()
        log_decision(
            "stream handover",
            request_id=progress.admitted.call.request_id,
            silent_endpoint=self.silent_endpoint,
            endpoints=self.endpoints_tried(),
            silent_s=round(self.clock() - self.silent_since, 3),
            after=progress.last_event,
            problem=self.progress.problem,
            outcome=outcome,
        )

    def close(self) -> None:
        """End the attempt at once."""
        self.task.cancel()
        if self.reader is not None:
            self.reader.close()

    def endpoints_tried(self) -> list[str]:
        """Return the names of the endpoints to which the call was sent."""
        return self.progress.tried[self.tried_before :]

    def failure(self) -> str:
        """Return the outcome of an attempt that failed."""
        if self.has_failed:
            return FAILED
        return REFUSED if self.endpoints_tried() else str(self.progress.obstacle)

    def refund_retry(self) -> None:
        """Remove a retry from the retry window if it was counted and not sent.

        Retries are counted before an endpoint is chosen.
        """
        if self.has_failed or self.progress.obstacle not in UNSENT_RETRIES:
            return
        service = self.progress.admitted.service.name
        window = self.attempts.dispatcher.retry_window(service)
        window.refund_retry(self.began_at)

    async def _run(self) -> None:
        """Make attempts; an unexpected error does not end the first attempt."""
        try:
            await self._make_attempts()
        except Exception:
            request_id = self.progress.admitted.call.request_id
            logger.exception("second attempt failed", extra={"request_id": request_id})
            self.has_failed = True
            self._drop_reader()

    def _drop_reader(self) -> None:
        reader, self.reader = self.reader, None
        if reader is not None:
            reader.close()

    async def _make_attempts(self) -> None:
        """Make attempts until one can continue the stream, or none is left."""
        while (running := await self.attempts.next(self.progress)) is not None:
            reader = EventReader(running, self.clock)
            self.reader = reader
            if await self._await_first_events(reader):
                return
            self._drop_reader()

    async def _await_first_events(self, reader: EventReader) -> bool:
        """Wait for the first events; return whether they can continue the stream."""
        held: list[StreamEvent] = []
        while not (has_content(held) or reader.is_ended or self.first_has_ended):
            until = min(self.progress.deadline, self.clock() + SILENCE_CHECK_SECONDS)
            try:
                events = await reader.read(until)
            except TimeoutError:
                if self._is_given_up(reader, until):
                    return False
                continue
            except TruncatedAnswer as error:
                self._on_broken(reader, str(error))
                return False
            problem = self._problem(reader, events)
            if problem is not None:
                self._on_broken(reader, problem)
                return False
            held += events or []
        reader.ready = held
        return True

    def _problem(self, reader: EventReader, events: Events) -> str | None:
        """Return why what was read can't continue the stream, None if it can."""
        if events is None:
            return reader.incomplete_end(has_events=False)
        if reader.splitter.is_too_large():
            return "an event is too large"
        if not are_next_events(events, self.progress.last_event):
            return "an event is missing or duplicated"
        return None

    def _is_given_up(self, reader: EventReader, due: float) -> bool:
        """Return whether another endpoint is tried instead of one that is silent."""
        if self.clock() >= self.progress.deadline:
            return True
        if self.first_has_ended:
            return False
        return reader.is_silent(due) and can_hand_over(self.attempts, self.progress)

    def _on_broken(self, reader: EventReader, problem: str) -> None:
        state = reader.running.state
        self.attempts.outcomes.on_broken(self.progress, state, problem)
        self.attempts.dispatcher.endpoints.on_end(state, ok=False)


class HedgedReader(EventReader):
    """The response of an attempt, and a second attempt begun before its head."""

    def __init__(
        self, running: OpenAttempt, clock: Callable[[], float], second: SecondAttempt
    ) -> None:
        super().__init__(running, clock)
        self.second: SecondAttempt | None = second

    def take_second(self) -> SecondAttempt | None:
        """Return the second attempt and pass its ownership to the caller."""
        second, self.second = self.second, None
        return second

    def close(self) -> None:
        """Stop reading, and end both attempts."""
        if self.second is not None:
            self.second.close()
        super().close()


def has_content(events: list[StreamEvent]) -> bool:
    """Return whether there is an event with data or a number."""
    return not all(is_empty(event) for event in events)


def can_hand_over(attempts: Attempts, progress: CallProgress) -> bool:
    """Return whether another endpoint may take a stream over."""
    admitted = progress.admitted
    if progress.attempts_left <= 0 or not admitted.route.is_resumable:
        return False
    if not progress.is_version_certain:
        return False
    candidates = attempts.dispatcher.endpoints.candidates(
        admitted.service.name, admitted.software_version
    )
    return any(state.endpoint.name not in progress.tried for state in candidates)
