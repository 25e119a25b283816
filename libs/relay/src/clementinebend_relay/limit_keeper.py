"""Keeps the request limits of endpoints in need, and grants permits, for all entries.

The state is in memory only. A process that has just become the keeper learns a limit
from the next probe of any entry that knows it.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.messages import LimitReport
from clementinebend_routing.request_limits import RequestLimit, merge_limits
from clementinebend_routing.request_permits import CallClass, EndpointPermits

MAX_IDLE_SECONDS = 120.0
"""Seconds after which an endpoint that no entry asks about is forgotten."""

MAX_LIMITED = 10_000
"""Maximum number of endpoint boots whose limits one process keeps, about 20 MB."""


class PermitDecision(NamedTuple):
    """Whether a permit is granted, and the limit as the call sees it."""

    is_granted: bool
    limit: LimitReport


class LimitKeeper:
    """The limits and permits of endpoints, by their boot."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.permits: OrderedDict[str, EndpointPermits] = OrderedDict()

    def on_limit(self, boot: str, limit: RequestLimit, source: str) -> None:
        """Apply a limit that an entry knows; an older one changes nothing."""
        permits = self.permits.get(boot)
        if permits is None:
            if limit.version <= 0:
                return
            permits = self._add(boot)
        merged = merge_limits(permits.limit, limit)
        if merged == permits.limit:
            return
        log_decision(
            "endpoint limit kept",
            boot=boot,
            max_rate=merged.rate,
            version=merged.version,
            rate_before=permits.limit.rate,
            source=source,
        )
        permits.change(merged, self.clock())

    def report(self, boot: str, call_class: CallClass) -> LimitReport | None:
        """Return the limit of an endpoint as a call sees it, None without one."""
        permits = self.permits.get(boot)
        if permits is None:
            return None
        self.permits.move_to_end(boot)
        return LimitReport(permits.limit, permits.wait(call_class, self.clock()))

    def request_permit(
        self, boot: str, request: str, call_class: CallClass, is_backup: bool
    ) -> PermitDecision:
        """Grant or refuse a permit for a call."""
        permits = self.permits.get(boot)
        if permits is None:
            return PermitDecision(True, LimitReport(RequestLimit(), None))
        now = self.clock()
        answer = permits.request(request, call_class, is_backup, now)
        wait = answer.wait if permits.is_limiting(now) else None
        return PermitDecision(answer.is_granted, LimitReport(permits.limit, wait))

    def on_sent(self, boot: str, request: str) -> None:
        """Record a call that was sent to an endpoint, with a permit or without."""
        permits = self.permits.get(boot)
        if permits is not None:
            permits.on_sent(request, self.clock())

    def _add(self, boot: str) -> EndpointPermits:
        now = self.clock()
        self._drop_idle(now)
        self.permits[boot] = EndpointPermits(now)
        return self.permits[boot]

    def _drop_idle(self, now: float) -> None:
        """Drop endpoints that are not asked about, and the oldest above the limit."""
        while self.permits:
            boot, permits = next(iter(self.permits.items()))
            is_idle = now - permits.used_at > MAX_IDLE_SECONDS
            if not is_idle and len(self.permits) < MAX_LIMITED:
                return
            del self.permits[boot]
