"""Relays streams event by event, and resumes them at another endpoint.

Only complete events are relayed, so that a stream that breaks off within an event
can resume at another endpoint after the last event that the caller has received.
"""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import aclosing

from clementinebend_relay.attempts import Attempts, OpenAttempt
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.dispatch import Dispatcher
from clementinebend_relay.event_reader import EventReader
from clementinebend_relay.events import StreamEvent, is_empty, is_next_event
from clementinebend_relay.handovers import Handover, StreamBroken, StreamTakenOver
from clementinebend_relay.metrics import resumed_streams
from clementinebend_relay.openings import Opening
from clementinebend_relay.origin_replicas import OriginReplicas
from clementinebend_relay.progress import CallProgress, Obstacle
from clementinebend_relay.second_attempts import (
    SILENCE_CHECK_SECONDS,
    Events,
    HedgedReader,
    can_hand_over,
)
from clementinebend_relay.stream_origins import (
    MAX_STREAM_SECONDS,
    RESUME_SLACK_SECONDS,
    StreamKey,
    StreamOrigin,
)
from clementinebend_routing.fatal_runs import PART_SOUND_SECONDS, counts_as_evidence
from clementinebend_transport.exceptions import AnswerCutError, TruncatedAnswer
from clementinebend_transport.http_types import Response

MAX_EXTRA_EVENTS = 16
"""Events that an attempt may have beyond the tokens that the call asked for."""


class RelayedEvents(AsyncIterator[bytes]):
    """The events of a stream on their way to its caller, and what is held of them."""

    def __init__(
        self, events: AsyncGenerator[bytes, None], progress: CallProgress
    ) -> None:
        self.events = events
        self.progress = progress
        self.is_started = False

    def __anext__(self) -> Awaitable[bytes]:
        """Return the next event."""
        self.is_started = True
        return self.events.__anext__()

    async def aclose(self) -> None:
        """End the stream, also one of which nothing has been read.

        Closing an unstarted generator runs no cleanup; the first event is ready.
        """
        if not self.is_started:
            await anext(self, None)
        await self.events.aclose()

    def held_bytes(self) -> int:
        """Return how many bytes of the stream are here and not sent, at most."""
        progress = self.progress
        arrived = 0 if progress.answer is None else progress.answer.buffered_bytes()
        return progress.unrelayed_bytes + arrived


class StreamRelay:
    """Relays responses that are streams of events."""

    def __init__(
        self,
        attempts: Attempts,
        dispatcher: Dispatcher,
        origins: OriginReplicas,
        clock: Callable[[], float],
    ) -> None:
        self.attempts = attempts
        self.dispatcher = dispatcher
        self.origins = origins
        self.clock = clock

    async def answer(
        self, progress: CallProgress, on_end: Callable[[], None]
    ) -> Response | None:
        """Return a streamed response once its first event has arrived.

        If no attempt leads to one, returns the last failure response of an endpoint,
        or None. ``on_end`` is called when the stream ends for any reason, but not if
        there is no stream.
        """
        reader = await self._next_reader(progress)
        while reader is not None:
            source = self._read_events(reader, progress)
            try:
                first = await anext(source, None)
            except StreamTakenOver as taken_over:
                reader = taken_over.reader
                continue
            except StreamBroken:
                reader = await self._next_reader(progress)
                continue
            except BaseException:
                await source.aclose()
                raise
            answer = reader.running.answer
            headers = self.dispatcher.protocol.caller_headers(answer.headers)
            events = self._relay_events(first, source, progress, on_end)
            body = RelayedEvents(events, progress)
            return Response(answer.status, headers, body)
        return progress.failure

    async def _next_reader(self, progress: CallProgress) -> EventReader | None:
        """Return the next attempt, None if there is none.

        A stream that has begun goes on only while the versions of endpoints are known.
        """
        if progress.admitted.origin is not None and not self._is_in_step():
            progress.obstacle = Obstacle.VERSION_UNCERTAIN
            progress.problem = "the versions of endpoints are not known for certain now"
            return None
        if progress.admitted.route.is_resumable:
            return await Opening(self.attempts, progress).run()
        running = await self.attempts.next(progress)
        return None if running is None else EventReader(running, self.clock)

    async def _relay_events(
        self,
        first: StreamEvent | None,
        source: AsyncGenerator[StreamEvent, None],
        progress: CallProgress,
        on_end: Callable[[], None],
    ) -> AsyncGenerator[bytes, None]:
        """Yield the events of the whole stream, over as many attempts as needed."""
        try:
            if first is not None:
                yield first.data
            while True:
                try:
                    async with aclosing(source):
                        async for event in source:
                            yield event.data
                    progress.is_whole = True
                    return
                except StreamTakenOver as taken_over:
                    source = self._go_on(progress, taken_over.reader, str(taken_over))
                except StreamBroken as error:
                    source = await self._resume(progress, error)
        finally:
            await source.aclose()
            on_end()

    async def _resume(
        self, progress: CallProgress, error: StreamBroken
    ) -> AsyncGenerator[StreamEvent, None]:
        """Return the remaining events of a stream from another endpoint."""
        reader = None
        if not progress.admitted.route.is_resumable:
            progress.obstacle = Obstacle.NOT_RESUMABLE
        elif not progress.is_version_certain:
            progress.obstacle = Obstacle.VERSION_UNCERTAIN
        else:
            reader = await self._next_reader(progress)
        if reader is None:
            log_decision(
                "stream cut",
                request_id=progress.admitted.call.request_id,
                events=progress.events,
                endpoints=progress.tried,
                software_versions=progress.software_versions,
                problem=str(error),
                not_resumed=progress.obstacle,
                last_problem=progress.problem,
            )
            raise AnswerCutError(str(error))
        return self._go_on(progress, reader, str(error))

    def _go_on(
        self, progress: CallProgress, reader: EventReader, problem: str
    ) -> AsyncGenerator[StreamEvent, None]:
        """Return the remaining events of a stream from another attempt."""
        endpoint = reader.running.state.endpoint
        log_decision(
            "stream resumed",
            request_id=progress.admitted.call.request_id,
            endpoint=endpoint.name,
            software_versions=progress.software_versions,
            after=progress.last_event,
            problem=problem,
        )
        is_same = endpoint.software_version == progress.admitted.software_version
        self._count_resumed(progress, "entry", "same" if is_same else "other")
        return self._read_events(reader, progress)

    async def _read_events(
        self, reader: EventReader, progress: CallProgress
    ) -> AsyncGenerator[StreamEvent, None]:
        """Yield the events of one attempt.

        Raises ``StreamBroken`` if it breaks off, ``StreamTakenOver`` if another one
        continues the stream.
        """
        running, splitter = reader.running, reader.splitter
        progress.answer = running.answer
        state, endpoints = running.state, self.dispatcher.endpoints
        is_complete = False
        try:
            while (events := await self._next_events(reader, progress)) is not None:
                split_bytes = sum(len(event.data) for event in events)
                progress.unrelayed_bytes = split_bytes + len(splitter.rest)
                for event in events:
                    self._check_length(event, reader, progress)
                    self._record_event(event, running, progress)
                    yield event
                    progress.unrelayed_bytes -= len(event.data)
                if splitter.is_too_large():
                    raise self._break_stream(running, progress, "an event is too large")
            has_events = progress.attempt_event_at is not None
            problem = reader.incomplete_end(has_events)
            if problem is not None:
                self.attempts.outcomes.on_broken(progress, state, problem)
                raise StreamBroken(problem)
            is_complete = True
        finally:
            progress.unrelayed_bytes = 0
            reader.close()
            if is_complete:
                endpoints.on_end(state, ok=True)
                self.attempts.outcomes.on_end(progress, running.state, running.answer)

    def _record_event(
        self, event: StreamEvent, running: OpenAttempt, progress: CallProgress
    ) -> None:
        """Check the number of an event and record the event in the call's progress."""
        self._check_boot(running, progress)
        if not is_next_event(event.event_id, progress.last_event):
            raise self._break_stream(
                running, progress, "an event is missing or duplicated"
            )
        if progress.events == 0:
            self.dispatcher.on_first_token(progress.admitted, running.state)
            progress.first_event_at = self.clock()
            progress.begin(running.state.endpoint.software_version)
            self._record_resumption(running, progress)
        if not progress.is_origin_told and self._is_in_step():
            progress.is_origin_told = True
            self._tell_origin(progress, running.state.endpoint.software_version)
        if progress.attempt_event_at is None:
            progress.attempt_event_at = self.clock()
        if not counts_as_evidence(self.clock() - progress.attempt_event_at):
            self.attempts.outcomes.on_sound(progress)
        if self.clock() - progress.attempt_event_at >= PART_SOUND_SECONDS:
            self.attempts.outcomes.on_writing(progress)
        progress.events += 1
        progress.last_event = event.event_id or progress.last_event

    def _check_length(
        self, event: StreamEvent, reader: EventReader, progress: CallProgress
    ) -> None:
        """Break an attempt off that has more events than the call allows tokens.

        Each event has at least one token; the limit of a call is optional.
        """
        reader.content_events += not is_empty(event)
        allowed = progress.admitted.call.max_output_tokens
        if 0 < allowed < reader.content_events - MAX_EXTRA_EVENTS:
            problem = "the stream has more events than the call asked for"
            raise self._break_stream(reader.running, progress, problem)

    def _check_boot(self, running: OpenAttempt, progress: CallProgress) -> None:
        """Break a stream off if its endpoint's name belongs to another version now.

        Its announcement was outdated then, so that nobody knows which version sent
        what: the stream goes on nowhere.
        """
        sent_by = running.state.endpoint.software_version
        replacement = self.dispatcher.endpoints.replacement(running.state)
        if replacement is None or replacement.software_version == sent_by:
            return
        if progress.events:
            progress.is_origin_uncertain = True
            self._tell_origin(progress, replacement.software_version)
        problem = "the endpoint runs another version than it had announced"
        raise self._break_stream(running, progress, problem)

    def _is_in_step(self) -> bool:
        """Return whether the versions of endpoints are those announced shortly before.

        An entry that was cut off from the store, or stood still, may take an endpoint
        that has started again for the boot before.
        """
        return self.dispatcher.endpoints.is_in_step()

    def _tell_origin(self, progress: CallProgress, software_version: str) -> None:
        """Tell other entries where the stream began, before its first event leaves.

        A second version makes them forget the first one.
        """
        admitted = progress.admitted
        if not admitted.route.is_resumable:
            return
        request_id = admitted.call.resumes or admitted.call.request_id
        key = StreamKey(admitted.team.name, request_id)
        origin = StreamOrigin(admitted.service.name, software_version)
        seconds = progress.deadline - self.clock() + RESUME_SLACK_SECONDS
        self.origins.tell(key, origin, min(seconds, MAX_STREAM_SECONDS))

    def _count_resumed(self, progress: CallProgress, by: str, software: str) -> None:
        service = progress.admitted.service.name
        resumed_streams.labels(service, by, software).inc()

    def _record_resumption(self, running: OpenAttempt, progress: CallProgress) -> None:
        """Record that a stream has gone on for a caller that resumed it."""
        call = progress.admitted.call
        if not call.is_resumption:
            return
        self._count_resumed(progress, "caller", "same")
        log_decision(
            "stream resumed by caller",
            request_id=call.request_id,
            resumes=call.resumes,
            after=call.last_event,
            endpoint=running.state.endpoint.name,
            software_version=running.state.endpoint.software_version,
        )

    async def _next_events(self, reader: EventReader, progress: CallProgress) -> Events:
        """Return the next events of an attempt's response, or None at its end.

        A resumable stream whose endpoint is silent may continue with another attempt.
        """
        if isinstance(reader, HedgedReader) and reader.second is not None:
            return await self._hand_over(reader, progress)
        can_resume = progress.admitted.route.is_resumable and progress.attempts_left > 0
        while reader.may_read_until(progress.deadline):
            is_late = self.clock() >= progress.deadline
            until = progress.deadline
            if can_resume:
                until = min(until, self.clock() + SILENCE_CHECK_SECONDS)
            try:
                return await reader.read(until)
            except TimeoutError:
                if is_late:
                    break
                if reader.is_silent(until) and can_hand_over(self.attempts, progress):
                    return await self._hand_over(reader, progress)
            except TruncatedAnswer as error:
                raise self._break_stream(
                    reader.running, progress, str(error)
                ) from error
        raise StreamBroken("the time limit has passed")

    async def _hand_over(self, reader: EventReader, progress: CallProgress) -> Events:
        """Return the next events of a silent endpoint, or hand the stream over."""

        def on_broken(problem: str) -> None:
            self._break_stream(reader.running, progress, problem)

        return await Handover(self.attempts, progress, reader, on_broken).run()

    def _break_stream(
        self, running: OpenAttempt, progress: CallProgress, problem: str
    ) -> StreamBroken:
        self.attempts.outcomes.on_broken(progress, running.state, problem)
        self.dispatcher.endpoints.on_end(running.state, ok=False)
        return StreamBroken(problem)
