"""How long a call waits before it may be sent to an endpoint."""

from asyncio import timeout_at
from collections.abc import Callable, Collection
from contextlib import suppress
from math import inf

from clementinebend_relay.models import Reason, Rejection
from clementinebend_relay.quarantine.evidence import MAX_SUSPECTS
from clementinebend_relay.quarantine.runs import RunsInProgress
from clementinebend_relay.quarantine.verdicts import Verdicts

SUSPECT_RETRY_DELAY = 1.0
"""Seconds after which a caller may retry while another run of its suspected request is
in progress."""

SUSPECT_WAIT_SECONDS = 2.0
"""Maximum seconds that a call waits for a check, a decision or another run."""

SUSPECT_WAIT_SHARE = 0.25
"""Maximum share of its remaining time that a call waits. The rest is left for its
run."""

MAX_DECISION_LATENESS = 0.05
"""Seconds after which a call no longer waits for a decision that is overdue."""

REPORT_WAIT = 0.35
"""Seconds for which calls of a confined request wait for the report of an end, if its
endpoint refuses connections: longer than the first repetition of a report takes."""


class Turns:
    """Lets calls wait while an end of an endpoint under their request is not clear.

    ``report_due_at`` is until when the report of an end is expected.
    """

    def __init__(
        self,
        verdicts: Verdicts,
        runs: RunsInProgress,
        clock: Callable[[], float],
    ) -> None:
        self.table = verdicts.requests
        self.verdicts = verdicts
        self.runs = runs
        self.clock = clock
        self.report_due_at: dict[str, float] = {}

    async def wait(
        self,
        fingerprint: str,
        deadline: float,
        may_repeat: bool,
        parts: Collection[str] = (),
    ) -> Rejection | None:
        """Wait until a call may be sent; return why not if that takes too long."""
        now = self.clock()
        max_wait = min(SUSPECT_WAIT_SECONDS, (deadline - now) * SUSPECT_WAIT_SHARE)
        until = now + max_wait
        while (
            blocked_until := max(
                self._blocked_until(fingerprint, may_repeat),
                self._decided_at(*parts),
            )
        ) > now:
            if now >= until and not self.table.is_suspected(fingerprint):
                break
            if now >= until:
                message = "another run of this request must end first"
                pause = min(SUSPECT_RETRY_DELAY, blocked_until - now)
                return Rejection(Reason.OVERLOADED, message, pause)
            with suppress(TimeoutError):
                async with timeout_at(min(until, blocked_until)):
                    await self.runs.changed.wait()
            now = self.clock()
        return None

    def on_unreachable(self, fingerprint: str) -> None:
        """Record that the endpoint of a call refused its connection.

        If there is evidence against the request, that may be one more end under it
        whose report is on its way.
        """
        if self.table.get(fingerprint):
            self.report_due_at[fingerprint] = self.clock() + REPORT_WAIT
        if len(self.report_due_at) > MAX_SUSPECTS:
            del self.report_due_at[next(iter(self.report_due_at))]

    def on_report(self, fingerprint: str) -> None:
        """Record that the report of an end has come, or is not needed any more."""
        if self.report_due_at.pop(fingerprint, None) is not None:
            self.runs.notify()

    def _blocked_until(self, fingerprint: str, may_repeat: bool) -> float:
        """Return until when a call waits for a check, a run or a decision at most."""
        if self.runs.in_check[fingerprint]:
            return inf
        if not self.table.get(fingerprint):
            return -inf
        is_first = may_repeat or not self.table.is_suspected(fingerprint)
        is_busy = self.runs.in_flight[fingerprint] > 0 and not is_first
        if is_busy:
            return inf
        report_due_at = self.report_due_at.get(fingerprint, -inf)
        return max(self._decided_at(fingerprint), report_due_at)

    def _decided_at(self, *subjects: str) -> float:
        """Return until when the decisions about some subjects are waited for."""
        due_at = self.verdicts.due_at
        if not due_at:
            return -inf
        latest = max((due_at.get(each, -inf) for each in subjects), default=-inf)
        return latest + MAX_DECISION_LATENESS
