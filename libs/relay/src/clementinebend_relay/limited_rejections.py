"""Rejects calls to services all of whose endpoints are at their request limits."""

from collections.abc import Callable
from random import random

from clementinebend_admission.return_schedule import ReturnSchedule
from clementinebend_relay.admission import Admitted
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.metrics import limited_rejections
from clementinebend_relay.models import Reason, Rejection


class LimitedRejections:
    """Rejections of one entry; tells callers when they may be served.

    Callers return at the rate at which this entry can serve them: its part of the sum
    of the limits.
    """

    def __init__(
        self,
        endpoints: EndpointTable,
        entry_count: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self.endpoints = endpoints
        self.entry_count = entry_count
        self.clock = clock
        self.returns: dict[str, ReturnSchedule] = {}

    def reject(self, admitted: Admitted, wait: float) -> Rejection:
        """Return a rejection; an endpoint may take the call in ``wait`` seconds."""
        service = admitted.service.name
        states = self.endpoints.candidates(service, admitted.software_version)
        rate = sum(state.limit.rate or 0.0 for state in states)
        returns = self.returns.setdefault(service, ReturnSchedule())
        delay = returns.next_delay(rate / self.entry_count(), self.clock(), random())
        limited_rejections.labels(service).inc()
        log_decision(
            "endpoints limited",
            request_id=admitted.call.request_id,
            service=service,
            priority=admitted.priority,
            team=admitted.team.name,
            endpoints=len(states),
            max_rate=rate,
            wait_s=round(wait, 3),
        )
        message = "all endpoints take no more requests now"
        return Rejection(Reason.OVERLOADED, message, delay)
