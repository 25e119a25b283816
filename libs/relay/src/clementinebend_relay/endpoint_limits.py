"""The request limits that endpoints in need name, as this entry knows them.

An entry learns of a limit from an endpoint's answers, from the process that keeps the
endpoint's permits, and from other entries, which tell one another when a limit begins
or ends.
"""

from collections.abc import Callable, Iterable

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.discovery import Directory
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.gossip import gossip_receivers
from clementinebend_relay.interfaces import InvalidRate
from clementinebend_relay.messages import LimitMessage, LimitReport, Message
from clementinebend_relay.metrics import invalid_limits, limited_endpoints
from clementinebend_relay.models import Endpoint, boot_name, endpoint_name
from clementinebend_routing.request_limits import (
    RequestLimit,
    merge_limits,
    on_answer,
)
from clementinebend_routing.request_permits import CallClass
from clementinebend_transport.client_connection import Address

MAX_WAIT_CACHED_SECONDS = 0.5
"""Longest time for which an endpoint counts as full by one report: limits change."""

RAISED_SECONDS = 1.0
"""Seconds for which calls ask for permits after a report that they are still needed,
though the limit has ended."""

NOTICE_INTERVAL = 1.0
"""Minimum seconds between two notices about one endpoint from this entry."""

Notify = Callable[[Endpoint, LimitMessage], None]


class PermitState:
    """What this entry knows of one boot's permits besides its limit.

    ``full_until`` is until when calls of a class find no permit, ``permits_until``
    until when calls need one although no limit is in force.
    """

    def __init__(self) -> None:
        self.full_until: dict[CallClass, float] = {}
        self.permits_until = float("-inf")
        self.noticed_at = float("-inf")


class EndpointLimits:
    """The limits of all endpoints; logs and counts each change.

    ``notify_keeper`` tells the keeper of an endpoint of a change that an answer showed.
    """

    def __init__(
        self,
        boot: str,
        states: dict[str, EndpointState],
        directory: Directory,
        send_all: Callable[[Message, Iterable[Address]], None],
        notify_keeper: Notify,
        clock: Callable[[], float],
    ) -> None:
        self.boot = boot
        self.states = states
        self.directory = directory
        self.send_all = send_all
        self.notify_keeper = notify_keeper
        self.clock = clock
        self.limited: set[str] = set()
        self.known: dict[str, PermitState] = {}

    def on_answer(
        self,
        request_id: str,
        state: EndpointState,
        sent_version: int,
        max_rate: float | InvalidRate | None,
    ) -> None:
        """Apply what an endpoint's answer says of its limit.

        ``sent_version`` is the version of the limit when the call was sent. Answers of
        a boot that a later one has replaced are ignored.
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
        if self.states.get(state.endpoint.name) is not state:
            return
        limit = on_answer(state.limit, sent_version, max_rate)
        if self._update(state, limit, "answer", request_id):
            message = LimitMessage(self.boot, boot_name(state.endpoint), limit)
            self.notify_keeper(state.endpoint, message)

    def on_report(
        self, endpoint: Endpoint, call_class: CallClass, report: LimitReport
    ) -> None:
        """Apply the word of the process that keeps an endpoint's permits."""
        state = self._state_of(boot_name(endpoint))
        if state is None:
            return
        self._update(state, merge_limits(state.limit, report.limit), "keeper")
        if report.wait is None:
            self.known.pop(boot_name(endpoint), None)
            return
        now = self.clock()
        known = self._known(state)
        known.permits_until = now + RAISED_SECONDS
        wait = min(report.wait, MAX_WAIT_CACHED_SECONDS)
        known.full_until[call_class] = now + wait

    def on_message(self, message: LimitMessage) -> None:
        """Apply another entry's notice; ignore those of unknown processes."""
        if not self.directory.is_announced(message.boot):
            return
        state = self._state_of(message.endpoint)
        if state is not None:
            limit = merge_limits(state.limit, message.limit)
            self._update(state, limit, message.boot)

    def limit_of(self, endpoint: Endpoint) -> RequestLimit | None:
        """Return the limit to tell a keeper of, None if none was ever named."""
        state = self._state_of(boot_name(endpoint))
        return None if state is None or not state.limit.version else state.limit

    def needs_permit(self, state: EndpointState) -> bool:
        """Return whether a call may be sent to an endpoint with a permit only."""
        if state.limit.rate is not None:
            return True
        known = self.known.get(boot_name(state.endpoint))
        return known is not None and self.clock() < known.permits_until

    def free(
        self, states: list[EndpointState], call_class: CallClass
    ) -> list[EndpointState]:
        """Return the endpoints at which calls of a class may find a permit now."""
        if not self.known:
            return states
        return [state for state in states if not self.is_full(state, call_class)]

    def is_full(self, state: EndpointState, call_class: CallClass) -> bool:
        """Return whether calls of a class find no permit at an endpoint now."""
        return self.wait(state, call_class) > 0.0

    def wait(self, state: EndpointState, call_class: CallClass) -> float:
        """Return the seconds until a call of a class may find a permit."""
        known = self.known.get(boot_name(state.endpoint)) if self.known else None
        if known is None or not self.needs_permit(state):
            return 0.0
        return max(0.0, known.full_until.get(call_class, 0.0) - self.clock())

    def on_refused(
        self, state: EndpointState, call_class: CallClass, wait: float
    ) -> None:
        """Record that a call got no permit, and when to ask again."""
        if self.states.get(state.endpoint.name) is not state:
            return
        until = self.clock() + min(wait, MAX_WAIT_CACHED_SECONDS)
        self._known(state).full_until[call_class] = until

    def forget(self, boot: str) -> None:
        """Discard what is known of a boot of an endpoint; it was dropped."""
        self.limited.discard(boot)
        self.known.pop(boot, None)
        limited_endpoints.set(len(self.limited))

    def _state_of(self, boot: str) -> EndpointState | None:
        state = self.states.get(endpoint_name(boot))
        if state is None or boot_name(state.endpoint) != boot:
            return None
        return state

    def _known(self, state: EndpointState) -> PermitState:
        return self.known.setdefault(boot_name(state.endpoint), PermitState())

    def _update(
        self,
        state: EndpointState,
        limit: RequestLimit,
        source: str,
        request_id: str | None = None,
    ) -> bool:
        """Store a limit and tell others of it; return whether it differs."""
        before = state.limit
        if limit == before:
            return False
        self._log_change(state, limit, source, request_id)
        now = self.clock()
        boot = boot_name(state.endpoint)
        state.limit = limit
        state.limit_since = now
        state.sent_before_limit = state.sent
        self._known(state).full_until.clear()
        (self.limited.discard if limit.rate is None else self.limited.add)(boot)
        limited_endpoints.set(len(self.limited))
        if (before.rate is None) != (limit.rate is None):
            self._notify_others(state)
        return True

    def _log_change(
        self,
        state: EndpointState,
        limit: RequestLimit,
        source: str,
        request_id: str | None,
    ) -> None:
        log_decision(
            _change(state.limit, limit),
            request_id=request_id,
            endpoint=state.endpoint.name,
            boot=boot_name(state.endpoint),
            max_rate=limit.rate,
            version=limit.version,
            source=source,
            rate_before=state.limit.rate,
            age_s=round(self.clock() - state.limit_since, 3),
            sent=state.sent - state.sent_before_limit,
        )

    def _notify_others(self, state: EndpointState) -> None:
        known, now = self._known(state), self.clock()
        if now - known.noticed_at < NOTICE_INTERVAL:
            return
        known.noticed_at = now
        others = self.directory.ring_successors(self.boot)
        message = LimitMessage(self.boot, boot_name(state.endpoint), state.limit)
        self.send_all(message, gossip_receivers(others))


def _change(before: RequestLimit, limit: RequestLimit) -> str:
    """Return the name of the log line for a change of a limit."""
    if limit.rate is None:
        return "endpoint limit ended"
    return "endpoint limited" if before.rate is None else "endpoint limit changed"
