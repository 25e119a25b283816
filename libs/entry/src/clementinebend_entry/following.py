"""Follows one run at one sidecar to its end, across reconnects.

The opening message is sent again over each new connection. If the sidecar knows
the run of a ``RunStart``, the message attaches to that run; otherwise it starts
the run once. If no time is left, the sidecar refuses the run and remembers the
refusal. Repeating the message is therefore safe for any call, and determines
whether the run took place.
"""

from asyncio import Queue
from functools import singledispatch
from time import monotonic
from typing import Any

from clementinebend_entry.answer_output import AnswerOutput
from clementinebend_entry.metrics import ATTACHMENTS
from clementinebend_entry.run_events import LinkLost, RunEvent
from clementinebend_entry.run_results import (
    RunBroke,
    RunNotRun,
    RunResult,
    RunUncertain,
    RunWhole,
    SidecarGone,
    SidecarUnreachable,
)
from clementinebend_entry.sidecar_link import SidecarLink
from clementinebend_records.identifiers import Incarnation, RunId
from clementinebend_records.messages import (
    RunAttach,
    RunChunk,
    RunEnd,
    RunFailed,
    RunHead,
    RunRefused,
    RunStart,
)
from clementinebend_records.reasons import NotRunReason
from clementinebend_transport.late_waits import wait_until_set

MILLISECONDS = 1000
FALLBACK_REASON = NotRunReason.CANCELLED
"""Used in place of a reason that only a newer sidecar knows."""

Opening = RunStart | RunAttach


class Follower:
    """Follows a run that ``opening`` starts or attaches to.

    ``follow`` takes the maximum time without a connection, in seconds; None sets
    no limit. ``deadline`` is in monotonic seconds.
    """

    def __init__(
        self,
        link: SidecarLink,
        incarnation: Incarnation,
        opening: Opening,
        deadline: float,
        output: AnswerOutput,
    ) -> None:
        self.link = link
        self.incarnation = incarnation
        self.opening = opening
        self.deadline = deadline
        self.output = output

    @property
    def run(self) -> RunId:
        """The run id that the sidecar uses in its messages on this run."""
        if isinstance(self.opening, RunStart):
            return self.opening.run
        return self.opening.attachment

    async def follow(self, reconnect_timeout: float | None) -> RunResult:
        """Open the run and handle its messages until it has ended."""
        events = self.link.open_run(self.run)
        try:
            self.send_opening()
            return await self.handle_events(events, reconnect_timeout)
        finally:
            self.link.close_run(self.run)

    async def handle_events(
        self, events: "Queue[RunEvent]", reconnect_timeout: float | None
    ) -> RunResult:
        """Handle events until one of them ends the run."""
        while True:
            event = await events.get()
            result = handle_event(event, self.output)
            if isinstance(event, LinkLost):
                result = await self.reopen(reconnect_timeout)
            if result is not None:
                return result

    async def reopen(self, reconnect_timeout: float | None) -> RunResult | None:
        """Wait for a new connection and open the run again there."""
        if not await wait_until_set(self.link.up, reconnect_timeout):
            return SidecarUnreachable()
        peer = self.link.peer
        if peer is None or peer.incarnation != self.incarnation:
            return SidecarGone()
        ATTACHMENTS.labels("link_lost").inc()
        self.output.rewind()
        self.send_opening()
        return None

    def send_opening(self) -> None:
        """Send the opening message with the remaining time."""
        opening = self.opening
        if isinstance(opening, RunStart):
            remaining_ms = max(0, int((self.deadline - monotonic()) * MILLISECONDS))
            opening = opening._replace(deadline_ms=remaining_ms)
        self.link.post(opening)


@singledispatch
def handle_event(event: Any, output: AnswerOutput) -> RunResult | None:
    """Handle one event of a run; return the result if it ends the run."""
    return None


@handle_event.register
def _(event: RunHead, output: AnswerOutput) -> RunResult | None:
    output.head(event)
    return None


@handle_event.register
def _(event: RunChunk, output: AnswerOutput) -> RunResult | None:
    output.chunk(event)
    return None


@handle_event.register
def _(event: RunEnd, output: AnswerOutput) -> RunResult | None:
    output.end(event)
    return RunWhole(event.receipt)


@handle_event.register
def _(event: RunFailed, output: AnswerOutput) -> RunResult | None:
    if event.receipt is None:
        return RunUncertain(event.message)
    return RunBroke(event.message, event.receipt)


@handle_event.register
def _(event: RunRefused, output: AnswerOutput) -> RunResult | None:
    known = set(NotRunReason)
    reason = NotRunReason(event.reason) if event.reason in known else FALLBACK_REASON
    return RunNotRun(reason, event.retry_after_ms)
