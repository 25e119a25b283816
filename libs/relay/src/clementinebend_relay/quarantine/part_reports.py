"""Reports of endpoints that ended under parts of prompts, and objections to them."""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable
from random import random

from clementinebend_relay.messages import (
    EndpointEndedMessage,
    Message,
    ReportedPart,
    SoundMessage,
)
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.quarantine.end_detector import EndedRun
from clementinebend_relay.quarantine.state import REPORT_SKEW_SECONDS, Quarantine
from clementinebend_relay.quarantine.subjects import is_part, is_valid_subject
from clementinebend_routing.fatal_runs import FatalRun, part_run

MAX_PARTS_PER_MESSAGE = 12
"""Maximum number of parts of prompts in one datagram, so that it fits into one
packet."""

MAX_PARTS_READ = 30
"""Maximum number of parts that are read from one datagram."""

OBJECTION_SPREAD = 0.08
"""Seconds over which entries spread their word that a part has run well, so that the
first ones spare the others theirs. Shorter than the delay of a decision."""

MAX_GOOD_RUN_AGE = 10.0
"""Maximum age in seconds of a reported good run; reports of older ones are ignored."""

MAX_OBJECTIONS = 1_000
"""Maximum number of objections that are due at once."""

Broadcast = Callable[[Callable[[], Message | None]], None]


class PartReports:
    """Tells other entries under which parts endpoints ended, and applies their reports.

    ``broadcast`` sends what a function builds to all entries, several times;
    ``broadcast_sound`` tells all that a subject has run well.
    """

    def __init__(
        self,
        boot: str,
        quarantine: Quarantine,
        broadcast: Broadcast,
        broadcast_sound: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        self.boot = boot
        self.quarantine = quarantine
        self.broadcast = broadcast
        self.broadcast_sound = broadcast_sound
        self.clock = clock
        self.objections: dict[str, TimerHandle] = {}

    def report(self, endpoint: Endpoint, runs: list[EndedRun]) -> None:
        """Record and report an end as evidence against the parts of prompts."""
        evidence: dict[str, FatalRun] = {}
        for each in runs:
            run = part_run(each.run, each.fingerprint)
            if run is not None:
                evidence.update((part, run) for part in each.parts)
        accepted = [
            (part, run)
            for part, run in evidence.items()
            if self.quarantine.on_run_ended(part, run)
        ]
        for start in range(0, len(accepted), MAX_PARTS_PER_MESSAGE):
            self._report(endpoint, accepted[start : start + MAX_PARTS_PER_MESSAGE])

    def _report(self, endpoint: Endpoint, evidence: list[tuple[str, FatalRun]]) -> None:
        ended_at = max(run.ended_at for _, run in evidence)

        def build() -> Message:
            now = self.clock()
            reported = (
                ReportedPart(part, run.request, now - run.sent_at)
                for part, run in evidence
            )
            return EndpointEndedMessage(
                self.boot,
                boot_name(endpoint),
                now - ended_at,
                (),
                parts=tuple(reported),
            )

        self.broadcast(build)

    def on_message(self, message: EndpointEndedMessage) -> None:
        """Apply the parts that another entry reports of an endpoint's end."""
        for part in message.parts[:MAX_PARTS_READ]:
            is_valid = is_valid_subject(part.part) and is_valid_subject(part.request)
            if is_valid and is_part(part.part) and part.sent_ago >= message.ended_ago:
                self._apply(message, part)

    def _apply(self, message: EndpointEndedMessage, reported: ReportedPart) -> None:
        """Apply a reported end under a part; tell of a recent good run of the part."""
        if self.quarantine.is_sound(reported.part):
            self._object_later(reported.part)
        now = self.clock()
        run = FatalRun(
            message.endpoint,
            now - reported.sent_ago,
            now - message.ended_ago,
            request=reported.request,
        )
        self.quarantine.on_run_ended(reported.part, run)

    def _object_later(self, part: str) -> None:
        """Tell all that a part runs well, unless another entry does so first."""
        if part in self.objections or len(self.objections) >= MAX_OBJECTIONS:
            return
        pause = random() * OBJECTION_SPREAD
        timer = get_running_loop().call_later(pause, self._object, part)
        self.objections[part] = timer

    def _object(self, part: str) -> None:
        del self.objections[part]
        self.broadcast_sound(part)

    def on_sound(self, message: SoundMessage) -> None:
        """Apply a good run of a part at another entry; don't repeat its report."""
        if not 0.0 <= message.ago <= MAX_GOOD_RUN_AGE:
            return
        part, at = message.fingerprint, self.clock() - message.ago
        if at >= self.quarantine.good_run_at(part) - REPORT_SKEW_SECONDS:
            self._cancel_objection(part)
        self.quarantine.on_part_reported_sound(part, at)

    def _cancel_objection(self, part: str) -> None:
        timer = self.objections.pop(part, None)
        if timer is not None:
            timer.cancel()
