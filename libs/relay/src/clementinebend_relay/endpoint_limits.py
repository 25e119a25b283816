"""The request limits that endpoints in need name, as this entry knows them."""

from collections.abc import Callable

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.interfaces import InvalidRate
from clementinebend_relay.metrics import invalid_limits, limited_endpoints
from clementinebend_relay.models import boot_name
from clementinebend_routing.request_limits import RequestLimit, on_answer


class EndpointLimits:
    """The endpoints whose limit is in force; logs and counts each change."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.limited: set[str] = set()

    def on_answer(
        self,
        request_id: str,
        state: EndpointState,
        sent_version: int,
        max_rate: float | InvalidRate | None,
    ) -> None:
        """Apply what an endpoint's answer says of its limit.

        ``sent_version`` is the version of the limit when the call was sent.
        """
        if isinstance(max_rate, InvalidRate):
            invalid_limits.labels(state.endpoint.service).inc()
            log_decision(
                "endpoint limit refused",
                request_id=request_id,
                endpoint=state.endpoint.name,
                problem=f"{max_rate.text!r} is no number of requests per second",
            )
            return
        limit = on_answer(state.limit, sent_version, max_rate)
        self._update(state, limit, "answer", request_id)

    def forget(self, boot: str) -> None:
        """Stop counting a boot of an endpoint as limited; it was dropped."""
        self.limited.discard(boot)
        limited_endpoints.set(len(self.limited))

    def _update(
        self,
        state: EndpointState,
        limit: RequestLimit,
        source: str,
        request_id: str | None = None,
    ) -> None:
        before = state.limit
        if limit == before:
            return
        now = self.clock()
        boot = boot_name(state.endpoint)
        log_decision(
            _change(before, limit),
            request_id=request_id,
            endpoint=state.endpoint.name,
            boot=boot,
            max_rate=limit.rate,
            version=limit.version,
            source=source,
            rate_before=before.rate,
            age_s=round(now - state.limit_since, 3),
            sent=state.sent - state.sent_before_limit,
        )
        state.limit = limit
        state.limit_since = now
        state.sent_before_limit = state.sent
        (self.limited.discard if limit.rate is None else self.limited.add)(boot)
        limited_endpoints.set(len(self.limited))


def _change(before: RequestLimit, limit: RequestLimit) -> str:
    """Return the name of the log line for a change of a limit."""
    if limit.rate is None:
        return "endpoint limit ended"
    return "endpoint limited" if before.rate is None else "endpoint limit changed"
