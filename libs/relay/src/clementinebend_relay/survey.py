"""Selects the endpoint for a call by the queues of a few candidate endpoints."""

from collections.abc import Callable, Collection, Mapping
from itertools import count
from random import sample
from typing import NamedTuple

from clementinebend_membership.rendezvous import rendezvous
from clementinebend_relay.admission import Admitted
from clementinebend_relay.endpoint_limits import EndpointLimits
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.metrics import full_surveys, plain_choices
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.plain_choice import (
    PlainChoice,
    PlainOffer,
    choose_plain,
    plain_shortlist,
    usual_service,
)
from clementinebend_relay.quarantine.confinement import Confinement, assigned_endpoint
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_routing.cold_start import PermitLimit
from clementinebend_routing.endpoint_queue import QueueReport
from clementinebend_routing.prefill import (
    Pace,
    PrefillCandidate,
    choose_candidate,
    slowness,
)
from clementinebend_routing.request_permits import CallClass
from clementinebend_routing.sessions import SessionTracker, best_source

CONNECTION_SHARE = 0.9
"""Share of an endpoint's connections that all entries together may use."""

BORROWED_SHARE = 0.85
"""Share of these connections that may be in use at an endpoint if an entry uses more
than its own part. The rest is left for entries that use less."""

FETCH_SOURCE_MAX_SILENCE = 0.5
"""Longest silence in seconds of an endpoint from which cached prompt parts are fetched.

It does not apply if the endpoint's queue keeper responds. An endpoint that fetches from
an unreachable one returns no first token before the caller leaves.
"""

SESSION_PROBED = 2
"""Number of endpoints of a prompt's session that are queried.

The first one has the prompt's cached parts; the second has them if the first is full.
"""

OTHERS_PROBED = 2
"""Number of further, random endpoints that are queried.

With two of them, a session with many calls doesn't overload its own endpoints. Each
endpoint costs a call two datagrams.
"""

SURVEY_VALID_SECONDS = 0.03
"""How long a survey may be used, in seconds.

Several dozen entries together send about three prompts a second to each endpoint.
"""


class Offer(NamedTuple):
    """An endpoint that may take a call, and the state of its queue.

    ``is_reported`` is false if ``report`` covers only this entry's own calls.
    """

    state: EndpointState
    report: QueueReport
    is_reported: bool


class Placement(NamedTuple):
    """The endpoint that a call is sent to.

    The endpoint has to read ``tokens`` of the call's prompt, after ``ahead`` tokens of
    other prompts; parts cached at ``source`` are fetched instead of read. ``reports``
    is the number of endpoints whose queue was reported. ``has_permit`` tells whether a
    permit was granted, if the endpoint's call rate is limited. ``plain`` is what the
    choice for a call without a prompt was based on.
    """

    state: EndpointState
    ahead: int
    tokens: int
    source: EndpointState | None
    reports: int = 0
    has_permit: bool | None = None
    plain: PlainChoice | None = None


class Survey(NamedTuple):
    """The result of a survey: the placement for a call, or None without an endpoint.

    ``at`` is when it was made. ``seconds_ahead`` is how long the endpoint takes to read
    the prompts ahead of the call's, if known. ``is_rate_limited`` is set if endpoints
    were queried and none of them accepts another call in this second. ``limit_wait`` is
    set if all endpoints are at their request limits: the seconds until the first one
    may take the call. ``passed_over`` is the number of those that are. With
    ``is_preceded`` a prompt that has precedence waits for the chosen endpoint.
    """

    at: float
    placement: Placement | None
    seconds_ahead: float | None
    is_rate_limited: bool = False
    limit_wait: float | None = None
    passed_over: int = 0
    is_preceded: bool = False


class Surveyor:
    """Queries the queues of a few eligible endpoints and chooses one for a call."""

    def __init__(
        self,
        zone: str,
        endpoints: EndpointTable,
        sessions: SessionTracker,
        probes: QueueProbes,
        limits: EndpointLimits,
        entry_count: Callable[[], int],
        confinement: Callable[[str], Confinement | None],
        clock: Callable[[], float],
    ) -> None:
        self.zone = zone
        self.endpoints = endpoints
        self.cold_endpoints = endpoints.cold_endpoints
        self.sessions = sessions
        self.probes = probes
        self.limits = limits
        self.entry_count = entry_count
        self.confinement = confinement
        self.clock = clock
        probes.on_queue = self._on_queue
        probes.on_service = self._on_service

    def is_usable(self, survey: Survey) -> bool:
        """Return whether a survey is recent enough to send a call by it."""
        if self.clock() - survey.at > SURVEY_VALID_SECONDS:
            return False
        placement = survey.placement
        if placement is None:
            return True
        if self.endpoints.replacement(placement.state) is not None:
            return False
        return self.cold_endpoints.may_send(placement.state, placement.has_permit)

    def _permit_limit(self, endpoint: Endpoint) -> PermitLimit | None:
        state = self.endpoints.states.get(endpoint.name)
        return None if state is None else self.cold_endpoints.permit_limit(state)

    async def survey(self, admitted: Admitted, tried: Collection[str]) -> Survey:
        """Query the queues of some eligible endpoints and choose one of them.

        Endpoints that were found at their request limit are passed over, and further
        ones are queried in their place, more of them each time.
        """
        call_class = admitted.call_class
        eligible = self._eligible(admitted, tried)
        confinement = self.confinement(admitted.fingerprint)
        if confinement is not None:
            assigned = self._assigned(admitted, eligible, confinement)
            if confinement.is_strict or self._takes_calls(assigned, call_class):
                eligible = assigned
        for round_number in count():
            free = self.limits.free(eligible, call_class)
            if eligible and not free:
                break
            survey = await self._query(admitted, free, OTHERS_PROBED << round_number)
            if survey is not None:
                return survey._replace(passed_over=len(eligible) - len(free))
        waits = (self.limits.wait(each, call_class) for each in eligible)
        return Survey(
            self.clock(),
            None,
            None,
            limit_wait=min(waits),
            passed_over=len(eligible),
        )

    async def _query(
        self, admitted: Admitted, free: list[EndpointState], others: int
    ) -> Survey | None:
        """Query some endpoints; return None if all are at their request limit."""
        queried = self._shortlist(admitted, free, others)
        preceded: set[str] = set()
        reports = await self.probes.ask(
            (state.endpoint for state in queried),
            admitted.priority,
            admitted.call.parts,
            self._permit_limit,
            admitted.team.name,
            admitted.turn,
            preceded,
        )
        offered = [
            self._make_offer(admitted, state, reports)
            for state in self.limits.free(queried, admitted.call_class)
        ]
        if queried and not offered:
            return None
        offers = [
            offer
            for offer in offered
            if self.cold_endpoints.may_send(offer.state, offer.report.has_permit)
        ]
        if offered and not offers:
            full_surveys.labels(admitted.service.name).inc()
            return Survey(self.clock(), None, None, is_rate_limited=True)
        offers = [
            offer for offer in offers if self._has_connection(admitted, offer.state)
        ]
        reported = [offer for offer in offers if offer.is_reported]
        survey = self._choose(admitted, reported or offers)
        chosen = survey.placement
        is_preceded = chosen is not None and chosen.state.endpoint.name in preceded
        return survey._replace(is_preceded=is_preceded)

    def _eligible(
        self, admitted: Admitted, tried: Collection[str]
    ) -> list[EndpointState]:
        """Return the endpoints that a call may be sent to.

        If this entry uses its part of all their connections, it may use others' if the
        reports show that these are free.
        """
        service = admitted.service
        states = self.endpoints.candidates(service.name, admitted.software_version)
        now = self.clock()
        untried = [state for state in states if state.endpoint.name not in tried]
        part = self._own_connections(admitted)
        open_to = [state for state in untried if state.in_flight < part] or untried
        return [state for state in open_to if not state.is_doubted(now)] or open_to

    def _own_connections(self, admitted: Admitted) -> float:
        """Return how many connections to an endpoint are this entry's part."""
        usable = admitted.service.max_connections * CONNECTION_SHARE
        return max(1, usable / self.entry_count())

    def _has_connection(self, admitted: Admitted, state: EndpointState) -> bool:
        """Return whether a connection to an endpoint is free for this entry."""
        if state.in_flight < self._own_connections(admitted):
            return True
        in_use = state.all_in_flight(self.clock())
        usable = admitted.service.max_connections * CONNECTION_SHARE
        return in_use is not None and in_use < usable * BORROWED_SHARE

    def _on_queue(self, endpoint: Endpoint, report: QueueReport) -> None:
        """Record how many calls run at an endpoint, also by a late report."""
        state = self.endpoints.states.get(endpoint.name)
        if state is not None and boot_name(state.endpoint) == boot_name(endpoint):
            state.on_queue_report(report.running, self.clock())

    def _on_service(self, endpoint: Endpoint, seconds: float | None) -> None:
        """Record how long an endpoint takes for a plain call."""
        state = self.endpoints.states.get(endpoint.name)
        if state is not None and boot_name(state.endpoint) == boot_name(endpoint):
            state.on_service_report(seconds, self.clock())

    def _with_known_queue(
        self, eligible: list[EndpointState]
    ) -> dict[str, EndpointState]:
        """Return the endpoints whose queue keeper is not silent, or all, by name."""
        known = [state for state in eligible if self.probes.is_known(state.endpoint)]
        return {state.endpoint.name: state for state in known or eligible}

    def _takes_calls(
        self, assigned: list[EndpointState], call_class: CallClass
    ) -> bool:
        """Return whether no permit is needed at the endpoints, and none is limited."""
        free = self.limits.free(assigned, call_class)
        return free == assigned and not any(
            self._permit_limit(state.endpoint) for state in assigned
        )

    def _assigned(
        self,
        admitted: Admitted,
        eligible: list[EndpointState],
        confinement: Confinement,
    ) -> list[EndpointState]:
        """Return the one endpoint to which all entries send a confined request.

        Endpoints added since its last end are passed over: not all entries know them.
        """
        since = confinement.since
        known = [state for state in eligible if state.available_since <= since]
        by_name = self._with_known_queue(known or eligible)
        name = assigned_endpoint(admitted.fingerprint, confinement, by_name)
        return [] if name is None else [by_name[name]]

    def _shortlist(
        self, admitted: Admitted, eligible: list[EndpointState], max_others: int
    ) -> list[EndpointState]:
        """Return the endpoints to query: the session's first, then random ones.

        A call without a prompt has no session: some of this zone are drawn for it.
        """
        by_name = self._with_known_queue(eligible)
        if not admitted.call.parts:
            states, usual = list(by_name.values()), self._usual_service(admitted)
            return plain_shortlist(states, self.zone, usual, max_others, self.clock())
        session = self.sessions.session_of(admitted.call.parts)
        first = list(rendezvous(session, by_name, SESSION_PROBED))
        rest = [name for name in by_name if name not in first]
        others = sample(rest, min(max_others, len(rest)))
        return [by_name[name] for name in (*first, *others)]

    def _make_offer(
        self,
        admitted: Admitted,
        state: EndpointState,
        reports: Mapping[str, QueueReport],
    ) -> Offer:
        """Return an endpoint's offer by its report, or by this entry's calls only."""
        report = reports.get(state.endpoint.name)
        if report is None:
            unread = self.sessions.uncached(state.endpoint.name, admitted.call.parts)
            ahead = state.tokens_ahead(admitted.priority)
            own = QueueReport(state.in_flight, ahead, unread, state.pace.seconds)
            return Offer(state, own, is_reported=False)
        if report.pace is not None:
            state.pace = Pace(report.pace)
        return Offer(state, report, is_reported=True)

    def _choose(self, admitted: Admitted, offers: list[Offer]) -> Survey:
        now = self.clock()
        if not offers:
            return Survey(now, None, None)
        reports = sum(offer.is_reported for offer in offers)
        if not admitted.call.parts:
            placement = self._choose_plain(admitted, offers)._replace(reports=reports)
            return Survey(now, placement, None)
        best = self._best_for_prompt(admitted, offers)
        source = self._fetch_source(best, offers)
        tokens = best.report.unread
        if source is not None:
            tokens = min(tokens, source.report.unread)
        ahead, pace = best.report.ahead, best.state.pace.seconds
        source_state = None if source is None else source.state
        placement = Placement(
            best.state, ahead, tokens, source_state, reports, best.report.has_permit
        )
        return Survey(now, placement, None if pace is None else ahead * pace)

    def _best_for_prompt(self, admitted: Admitted, offers: list[Offer]) -> Offer:
        least = min(offer.report.unread for offer in offers)
        usual = self.endpoints.median_pace(admitted.service.name)
        places = [
            PrefillCandidate(
                offer.state.endpoint.name,
                offer.report.ahead,
                least,
                offer.report.unread - least,
                slowness(offer.state.pace, usual),
                offer.report.running,
            )
            for offer in offers
        ]
        chosen = choose_candidate(places, usual)
        return offers[places.index(chosen)]

    def _usual_service(self, admitted: Admitted) -> float | None:
        states = self.endpoints.states.values()
        return usual_service(states, admitted.service.name, self.clock())

    def _choose_plain(self, admitted: Admitted, offers: list[Offer]) -> Placement:
        plain = [PlainOffer(offer.state, offer.report.running) for offer in offers]
        usual = self._usual_service(admitted)
        index, choice = choose_plain(plain, self.zone, usual, self.clock())
        best = offers[index]
        plain_choices.labels(admitted.service.name, choice.pace).inc()
        permit = best.report.has_permit
        return Placement(best.state, 0, 0, None, has_permit=permit, plain=choice)

    def _fetch_source(self, best: Offer, offers: list[Offer]) -> Offer | None:
        """Return the endpoint to fetch cached parts of a prompt from, if any.

        What another version of the software has cached may not fit.
        """
        now, version = self.clock(), best.state.endpoint.software_version
        others = {
            offer.state.endpoint.name: offer
            for offer in offers
            if offer is not best
            and offer.state.endpoint.software_version == version
            and offer.state.lapsed_at is None
            and not offer.state.is_doubted(now)
            and (
                offer.is_reported
                or now - offer.state.heard_at < FETCH_SOURCE_MAX_SILENCE
            )
        }
        unread = {name: offer.report.unread for name, offer in others.items()}
        source = best_source(best.report.unread, unread)
        return None if source is None else others[source]
