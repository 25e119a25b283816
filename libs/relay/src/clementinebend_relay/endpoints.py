"""Table of announced endpoints: which may get calls, and which have been dropped."""

from collections import Counter
from collections.abc import Callable, Iterable

from clementinebend_platform_client.keyed_log import KeyedRecord
from clementinebend_relay.announcement_order import AnnouncementOrder, boot_of
from clementinebend_relay.cold_endpoints import ColdEndpoints
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.earlier_boots import is_outdated, on_ignored
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.interfaces import InvalidRecord, RecordDecoder
from clementinebend_relay.last_resort import RETURN_SECONDS, LastResort
from clementinebend_relay.models import Endpoint, boot_name, endpoint_name
from clementinebend_routing.outliers import ejection_allowed, is_ejected, on_result
from clementinebend_routing.prefill import Pace, median_pace

ALL_LEAVING_RETRY_DELAY = 1.0
"""Seconds after which a caller may retry while all endpoints are leaving: their
replacements take about that long to announce themselves."""

EVACUATED_RETRY_DELAY = 2.0
"""Seconds after which a caller may retry while every endpoint that is not leaving is in
an evacuated zone. Evacuations last from seconds to hours and announce no end time."""


class EndpointTable:
    """Endpoints by name; shared by the tasks that read the store and dispatch calls.

    An endpoint serves for ``leaving_seconds`` after its record was removed.
    """

    def __init__(
        self,
        records: RecordDecoder,
        cold_endpoints: ColdEndpoints,
        clock: Callable[[], float],
        leaving_seconds: float = RETURN_SECONDS,
    ) -> None:
        self.records = records
        self.cold_endpoints = cold_endpoints
        self.clock = clock
        self.is_in_step: Callable[[], bool] = lambda: True
        """Returns whether later boots of endpoints would be known by now."""
        self.states: dict[str, EndpointState] = {}
        self.offsets: dict[str, int] = {}
        self.order = AnnouncementOrder()
        self.last_resort = LastResort(leaving_seconds)
        self.problems: dict[str, str] = {}
        self.hosts: Counter[str] = Counter()
        self.services: frozenset[str] = frozenset()
        self.evacuated_zones: set[str] = set()
        self.on_drop: Callable[[Endpoint], None] | None = None
        self.on_first_snapshot: Callable[[], None] | None = None
        self.on_announced: Callable[[Endpoint], None] | None = None
        self.has_snapshot = False
        self.is_overloaded: Callable[[], bool] = lambda: False

    def on_record(self, record: KeyedRecord) -> None:
        """Apply an announcement, or its removal."""
        if record.offset <= self.offsets.get(record.key, -1):
            return
        self.offsets[record.key] = record.offset
        if not record.value:
            self.problems.pop(record.key, None)
            self._lapse(record.key, self.last_resort.seconds(self.clock()))
            return
        decoded = self.records.endpoint(record.key, record.value)
        if isinstance(decoded, InvalidRecord):
            self._refuse(record.key, decoded.problem)
            return
        self.problems.pop(record.key, None)
        self._put(decoded)

    def configure(self, services: Iterable[str]) -> None:
        """Set the names of the configured services."""
        self.services = frozenset(services)

    def on_read_failed(self) -> None:
        """Note that the announcements could not be read."""
        self.last_resort.on_read_failed(self.clock())

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Apply the names of all announced endpoints; ``end`` is the log's end.

        A snapshot older than a record that was already read removes nothing.
        """
        if not self.has_snapshot:
            self.has_snapshot = True
            if self.on_first_snapshot is not None:
                self.on_first_snapshot()
        if end <= max(self.offsets.values(), default=-1):
            return
        for name in set(self.states) - keys:
            self._lapse(name, RETURN_SECONDS)

    def candidates(
        self, service: str, software_version: str | None = None
    ) -> list[EndpointState]:
        """Return the endpoints of ``service`` that may get calls.

        With a ``software_version`` no others are returned under any circumstances.
        Ejected endpoints are returned only if all announced ones are ejected, recently
        lapsed ones only if no other one is open. Endpoints that are leaving or paused,
        and those in evacuated zones, are excluded.
        """
        now = self.clock()
        self._drop_lapsed(now)
        open_states = [
            state
            for state in self._states_of(service, software_version)
            if self._is_open(state, now)
        ]
        announced = [state for state in open_states if state.lapsed_at is None]
        healthy = [state for state in announced if not is_ejected(state.health, now)]
        return healthy or announced or open_states

    def has_version(self, service: str, software_version: str) -> bool:
        """Return whether an endpoint of a version that stays is announced."""
        now = self.clock()
        states = self._states_of(service, software_version)
        return any(not state.is_leaving(now) for state in states)

    def median_pace(self, service: str) -> Pace:
        """Return the median pace of the endpoints of a service, if any is known.

        Services with slow and with fast engines share entries, so that a median of all
        endpoints would be the pace of neither.
        """
        return median_pace(state.pace for state in self._states_of(service))

    def is_host_used(self, host: str) -> bool:
        """Return whether an endpoint is announced at an address of ``host``."""
        return host in self.hosts

    def is_current(self, state: EndpointState) -> bool:
        """Return whether no later boot has replaced an endpoint's boot."""
        return self.states.get(state.endpoint.name) is state

    def replacement(self, state: EndpointState) -> Endpoint | None:
        """Return the later boot under an endpoint's name, if it is announced."""
        current = self.states.get(state.endpoint.name)
        if current is None or current is state:
            return None
        return current.endpoint

    def retry_delay(
        self, service: str, software_version: str | None = None
    ) -> float | None:
        """Return the seconds until an endpoint of a service is expected to be open.

        None if the service has no endpoint of the version, or an open one.
        """
        now = self.clock()
        states = self._states_of(service, software_version)
        if not states or any(self._is_open(state, now) for state in states):
            return None
        staying = [state for state in states if not state.is_leaving(now)]
        ends = (
            EVACUATED_RETRY_DELAY
            if self._is_evacuated(state)
            else state.paused_until - now
            for state in staying
        )
        return min(ends, default=ALL_LEAVING_RETRY_DELAY)

    def on_evacuation(self, zone: str, is_evacuated: bool) -> None:
        """Exclude the endpoints of a zone from new calls, or include them again."""
        if is_evacuated:
            self.evacuated_zones.add(zone)
        else:
            self.evacuated_zones.discard(zone)
            self.cold_endpoints.on_evacuation_ended(zone)
            for state in self.states.values():
                self.cold_endpoints.record_status(state)

    def on_leaving(self, state: EndpointState) -> bool:
        """Mark an endpoint as leaving; return whether it was not marked before."""
        is_new = state.on_leaving(self.clock())
        if is_new:
            log_decision("endpoint leaving", endpoint=state.endpoint.name)
        return is_new

    def on_reported_leaving(self, boot: str) -> None:
        """Mark one boot of an endpoint as leaving, as reported by another entry."""
        name = endpoint_name(boot)
        state = self.states.get(name)
        if state is not None and boot_name(state.endpoint) == boot:
            self.on_leaving(state)

    def on_end(self, state: EndpointState, ok: bool) -> None:
        """Apply the result of a dispatch to the health of the endpoint's boot."""
        name = state.endpoint.name
        if self.states.get(name) is not state:
            return
        now = self.clock()
        may_eject = self._may_eject(state.endpoint.service, now)
        health = on_result(state.health, ok, may_eject, now)
        if health.ejected_until > state.health.ejected_until:
            log_decision(
                "endpoint ejected",
                endpoint=name,
                for_s=round(health.ejected_until - now, 3),
            )
        state.health = health

    def on_failure(
        self, state: EndpointState, is_proof: bool, is_connected: bool = True
    ) -> None:
        """Apply a failure; without proof it may be due to this entry's own load."""
        if self.is_overloaded() and not is_proof:
            return
        if not is_connected:
            state.on_unreachable(self.clock())
        self.on_end(state, ok=False)

    def drop(self, state: EndpointState, reason: str) -> None:
        """Remove a boot of an endpoint permanently."""
        name = state.endpoint.name
        if self.states.get(name) is not state:
            return
        del self.states[name]
        self._change_host(state.endpoint.address.host, None)
        log_decision("endpoint dropped", endpoint=name, reason=reason)
        self.cold_endpoints.forget(state.endpoint)
        if self.on_drop is not None:
            self.on_drop(state.endpoint)

    def _change_host(self, before: str | None, after: str | None) -> None:
        """Count an endpoint on another host; None is no host."""
        if after is not None:
            self.hosts[after] += 1
        if before is not None:
            self.hosts[before] -= 1
            if not self.hosts[before]:
                del self.hosts[before]

    def _is_evacuated(self, state: EndpointState) -> bool:
        return state.endpoint.zone in self.evacuated_zones

    def _is_open(self, state: EndpointState, now: float) -> bool:
        return state.accepts_calls(now) and not self._is_evacuated(state)

    def _states_of(
        self, service: str, software_version: str | None = None
    ) -> list[EndpointState]:
        """Return the endpoints of a service, only those of a version if it is named."""
        return [
            state
            for state in self.states.values()
            if state.endpoint.service == service
            and software_version in (None, state.endpoint.software_version)
        ]

    def _refuse(self, name: str, problem: str) -> None:
        """Drop the endpoint of this name until it has a valid record.

        An endpoint announces itself each second, so the problem is logged only when it
        differs from the previous one.
        """
        if self.problems.get(name) != problem:
            self.problems[name] = problem
            log_decision("endpoint refused", endpoint=name, problem=problem)
        state = self.states.get(name)
        if state is not None:
            self.drop(state, "its announcement is invalid")

    def _put(self, endpoint: Endpoint) -> None:
        now = self.clock()
        if self.order.is_late(endpoint, now):
            self.order.on_ignored(endpoint, now)
            return
        state = self.states.get(endpoint.name)
        if state is not None and is_outdated(state, endpoint, now):
            on_ignored(state, endpoint, now)
            return
        self.order.on_applied(endpoint, now)
        if state is not None and boot_of(state.endpoint) != boot_of(endpoint):
            self.drop(state, "it restarted")
            state = None
        if state is None:
            self._drop_predecessors(endpoint)
            state = EndpointState(endpoint, now, lambda: self.is_overloaded())
            self.states[endpoint.name] = state
            self._change_host(None, endpoint.address.host)
            log_decision(
                "endpoint added",
                endpoint=endpoint.name,
                service=endpoint.service,
                boot=endpoint.boot,
                software_version=endpoint.software_version,
            )
        elif endpoint.is_leaving and not state.endpoint.is_leaving:
            log_decision("endpoint leaving", endpoint=endpoint.name)
        elif self.on_announced is not None:
            self.on_announced(endpoint)
        if state.lapsed_at is not None:
            state.available_since = now
        self._change_host(state.endpoint.address.host, endpoint.address.host)
        state.endpoint = endpoint
        state.announced_at = now
        state.lapsed_at = None
        self.cold_endpoints.on_announced(state)

    def _drop_predecessors(self, endpoint: Endpoint) -> None:
        """Drop earlier boots at the address of a new one; they have ended.

        Their records remain for a few heartbeats, so that after a power loss of all
        hosts calls would first be sent to boots that have ended. An announcement of a
        service that is not configured proves nothing: anybody may have written it.
        """
        if endpoint.service not in self.services:
            return
        earlier = [
            state
            for state in self.states.values()
            if state.endpoint.address == endpoint.address
        ]
        for state in earlier:
            self.drop(state, "a later boot has its address")

    def _lapse(self, name: str, seconds: float) -> None:
        """Keep an endpoint without a record as a last resort for some seconds."""
        self.order.on_removed(name, self.clock())
        state = self.states.get(name)
        if state is not None and state.lapsed_at is None:
            state.lapsed_at = self.clock()
            state.last_resort_until = state.lapsed_at + seconds
            log_decision("endpoint lapsed", endpoint=name, last_resort_s=seconds)

    def _drop_lapsed(self, now: float) -> None:
        expired = [
            state
            for state in self.states.values()
            if state.lapsed_at is not None and now > state.last_resort_until
        ]
        for state in expired:
            self.drop(state, "its announcement expired")

    def _may_eject(self, service: str, now: float) -> bool:
        states = self._states_of(service)
        ejected = sum(is_ejected(state.health, now) for state in states)
        return ejection_allowed(ejected, len(states))
