"""What the end of a run, or its going on, says of its request and its endpoint."""

from asyncio import Task, create_task, get_running_loop, sleep
from collections.abc import Callable
from functools import partial
from math import inf
from typing import NamedTuple

from clementinebend_relay.admission import Admitted
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.dispatch import Dispatcher
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.metrics import broken_answers
from clementinebend_relay.models import boot_name
from clementinebend_relay.progress import CallProgress
from clementinebend_relay.prompt_parts import logged_names
from clementinebend_relay.quarantine.news import QuarantineSync
from clementinebend_routing.fatal_runs import PART_SOUND_SECONDS, counts_as_evidence
from clementinebend_transport.http_client import OpenAnswer
from clementinebend_transport.late_waits import LateTimer

SOUND_INTERVAL = 1.0
"""Seconds between two records that a long answer still runs well."""

BARE_END_SECONDS = 0.25
"""Seconds after the end of an answer without length or chunks in which other bytes of
its endpoint show that this has not ended with it."""

REPORT_SECONDS = 0.05
"""Seconds to wait for other entries' reports of an end that a refused connection
shows: they tell when it was."""

LATE_BYTES_SECONDS = 0.1
"""Seconds after the end of an endpoint in which bytes that it sent before are read."""

SETTLE_ITERATIONS = 6
"""Event loop iterations after which the end of a connection has been handled that
arrived before the first one."""


class BareEnd(NamedTuple):
    """An answer without length or chunks that has ended ``at`` some time."""

    state: EndpointState
    admitted: Admitted
    sent_at: float
    at: float


class RunOutcomes:
    """Passes what runs show on to the quarantine and the detector of ends."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        news: QuarantineSync,
        clock: Callable[[], float],
    ) -> None:
        self.dispatcher = dispatcher
        self.quarantine = news.quarantine
        self.news = news
        self.clock = clock
        self.tasks: set[Task[None]] = set()

    def on_writing(self, progress: CallProgress) -> None:
        """Record that an endpoint has written on a prompt for a while, and lives.

        That clears the parts of the prompt, once in each interval.
        """
        now = self.clock()
        if now - progress.parts_sound_at >= SOUND_INTERVAL:
            progress.parts_sound_at = now
            self._clear_parts(progress.admitted.part_subjects)

    def on_end(
        self, progress: CallProgress, state: EndpointState, answer: OpenAnswer
    ) -> None:
        """Record that an answer has been read to its end."""
        if not answer.ends_with_channel:
            self.on_sound(progress)
            self.on_whole(progress, state)
            return
        bare = BareEnd(state, progress.admitted, progress.sent_at, self.clock())
        get_running_loop().call_later(
            BARE_END_SECONDS, self._confirm, bare, progress.attempt_event_at
        )

    def _confirm(self, bare: BareEnd, first_event_at: float | None) -> None:
        """Decide whether an answer whose end proves nothing was whole.

        If its endpoint has been heard well after it, it was: what the endpoint sent
        before may be read later. That proves nothing if the endpoint has ended since.
        If it was not heard, only a refused connection tells anything.
        """
        state, admitted = bare.state, bare.admitted
        if state.heard_at > bare.at + LATE_BYTES_SECONDS:
            if not self._may_have_ended(boot_name(state.endpoint)):
                for subject in (admitted.fingerprint, *admitted.part_subjects):
                    self.news.on_sound(subject)
            return
        task = create_task(self._look_at_address(bare, first_event_at))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _look_at_address(
        self, bare: BareEnd, first_event_at: float | None
    ) -> None:
        """Count a bare answer as broken if nobody listens at its endpoint's address.

        It was whole if the endpoint is known to have ended later.
        """
        state, admitted = bare.state, bare.admitted
        if not await self.dispatcher.ends.is_refused(state.endpoint):
            return
        await sleep(REPORT_SECONDS)
        known_end = self.quarantine.ends.known_end(boot_name(state.endpoint))
        if known_end == inf or known_end <= bare.at + LATE_BYTES_SECONDS:
            self.dispatcher.ends.on_broken(
                state,
                admitted.fingerprint,
                bare.sent_at,
                first_event_at,
                admitted.part_subjects,
                bare.at,
            )

    def on_whole(self, progress: CallProgress, state: EndpointState) -> None:
        """Record that an endpoint has completed an answer.

        It clears the parts of the prompt if the endpoint is still there after as long
        as it takes to end under one of them.
        """
        parts = progress.admitted.part_subjects
        if not parts or progress.parts_sound_at > -inf:
            return
        began_at = progress.attempt_event_at
        written = 0.0 if began_at is None else self.clock() - began_at
        pause = max(0.0, PART_SOUND_SECONDS - written)
        boot = boot_name(state.endpoint)
        clear = partial(self._clear_if_alive, parts, boot)
        LateTimer(get_running_loop().time() + pause, clear, SETTLE_ITERATIONS)

    def _clear_if_alive(self, parts: tuple[str, ...], boot: str) -> None:
        if not self._may_have_ended(boot):
            self._clear_parts(parts)

    def _may_have_ended(self, boot: str) -> bool:
        """Return whether an endpoint is known or suspected to have ended."""
        is_known = self.quarantine.ends.known_end(boot) < inf
        return is_known or boot in self.dispatcher.ends.broken

    def _clear_parts(self, parts: tuple[str, ...]) -> None:
        for part in parts:
            self.news.on_sound(part)

    def on_sound(self, progress: CallProgress) -> None:
        """Record that a call completed, or runs long, without ending its endpoint.

        A call that runs on is part of its request's history, once in each interval.
        """
        fingerprint, now = progress.admitted.fingerprint, self.clock()
        before, is_due = progress.sound_at, now - progress.sound_at >= SOUND_INTERVAL
        if is_due:
            progress.sound_at = now
        if before == -inf:
            self.news.on_sound(fingerprint)
        elif is_due:
            self.quarantine.requests.history.on_good_run(fingerprint)

    def on_broken(
        self, progress: CallProgress, state: EndpointState, problem: str
    ) -> None:
        """Record that an endpoint closed the connection within its response."""
        admitted = progress.admitted
        streamed_from = progress.attempt_event_at
        streamed = 0.0 if streamed_from is None else self.clock() - streamed_from
        broken_answers.labels(admitted.service.name).inc()
        log_decision(
            "answer broke off",
            request_id=admitted.call.request_id,
            fingerprint=admitted.fingerprint,
            parts=logged_names(admitted.shared_parts),
            endpoint=state.endpoint.name,
            events=progress.events,
            sent_s=round(self.clock() - progress.sent_at, 4),
            streamed_s=round(streamed, 4),
            in_flight=state.in_flight,
            problem=problem,
        )
        if counts_as_evidence(streamed):
            ends = self.dispatcher.ends
            ends.on_broken(
                state,
                admitted.fingerprint,
                progress.sent_at,
                streamed_from,
                admitted.part_subjects,
            )
