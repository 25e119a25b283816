"""Relays responses that are read completely before they are sent to the caller."""

from math import inf

from clementinebend_relay.answer_room import AnswerReading, AnswerRoom
from clementinebend_relay.attempts import Attempts, OpenAttempt
from clementinebend_relay.bodies import BodyFailure, read_body
from clementinebend_relay.dispatch import Dispatcher
from clementinebend_relay.progress import CallProgress
from clementinebend_transport.http_types import Response

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Maximum size in bytes of a response held in memory.

On the smallest host, of 128 MB, eight such responses fit at once beside the 30 MB of
the process.
"""


UNSIZED_BODY_SHARE = 0.75
"""Maximum share of the remaining time for a body of unknown size, if another attempt
may follow it."""


class PlainRelay:
    """Relays responses that are read completely before any part is passed on."""

    def __init__(
        self, attempts: Attempts, dispatcher: Dispatcher, room: AnswerRoom
    ) -> None:
        self.attempts = attempts
        self.dispatcher = dispatcher
        self.room = room

    async def answer(self, progress: CallProgress) -> Response | None:
        """Return an endpoint's response.

        If no attempt leads to one, returns the last failure response of an endpoint,
        or None.
        """
        while (running := await self.attempts.next(progress)) is not None:
            with running.cleanup:
                response = await self._read(running, progress)
            if response is not None:
                progress.is_whole = True
                return response
        return progress.failure

    async def _read(
        self, running: OpenAttempt, progress: CallProgress
    ) -> Response | None:
        with self.room.reading(running.answer, progress) as reading:
            reading.on_wait = lambda is_waiting: self._on_wait(
                running, progress, reading, is_waiting
            )
            body = await read_body(
                running.answer,
                self._body_deadline(running, progress),
                MAX_ANSWER_BYTES,
                reading.reserve,
            )
        if body.is_error():
            self._on_incomplete(running, progress, body.error, reading)
            return None
        self.dispatcher.endpoints.on_end(running.state, ok=True)
        if not reading.has_waited:
            self.dispatcher.on_answered(progress.admitted, running.state)
        self.attempts.outcomes.on_end(progress, running.state, running.answer)
        headers = self.dispatcher.protocol.caller_headers(running.answer.headers)
        return Response(running.answer.status, headers, body.ok)

    def _body_deadline(self, running: OpenAttempt, progress: CallProgress) -> float:
        """Return the deadline for the body of a response.

        A body of unknown size may be endless: time is kept for another attempt.
        """
        may_follow = progress.admitted.route.may_repeat and progress.attempts_left > 0
        if not may_follow or "content-length" in running.answer.headers:
            return progress.deadline
        now = self.room.clock()
        return now + (progress.deadline - now) * UNSIZED_BODY_SHARE

    def _on_incomplete(
        self,
        running: OpenAttempt,
        progress: CallProgress,
        failure: BodyFailure,
        reading: AnswerReading,
    ) -> None:
        """Record an incomplete response.

        After a wait it is no evidence against the endpoint, which may have given up as
        this entry did not read, unless the endpoint sent too much.
        """
        progress.problem = failure.problem
        if reading.has_waited and not failure.is_too_large:
            return
        self.dispatcher.endpoints.on_failure(running.state, failure.is_proof)
        if failure.broke_off:
            self.attempts.outcomes.on_broken(progress, running.state, failure.problem)

    def _on_wait(
        self,
        running: OpenAttempt,
        progress: CallProgress,
        reading: AnswerReading,
        is_waiting: bool,
    ) -> None:
        """Keep the wait of a response out of the endpoint's time and silence."""
        request_id = progress.admitted.call.request_id
        if is_waiting and not reading.has_waited:
            self.dispatcher.on_answered(progress.admitted, running.state)
        since = inf if is_waiting else self.room.clock()
        running.state.count_silence_from(request_id, since)
