"""What a call would meet at some endpoints, and which of them it is sent to."""

from collections.abc import Callable, Collection, Mapping
from random import random, sample
from typing import NamedTuple

from clementinebend_membership.rendezvous import rendezvous
from clementinebend_relay.admission import Admitted
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.metrics import full_surveys
from clementinebend_relay.models import Endpoint
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_routing.cold_start import PermitLimit
from clementinebend_routing.endpoint_queue import QueueReport
from clementinebend_routing.prefill import (
    Pace,
    PromptPlace,
    choose_place,
    slowness,
    usual_pace,
)
from clementinebend_routing.sessions import SessionMemory, best_source

CONNECTION_SHARE = 0.9
"""Part of an endpoint's connections that the entries use together."""

FETCH_SOURCE_MAX_SILENCE = 0.5
"""Parts are fetched only from an endpoint that was heard so lately, unless the process
on its host answers: an endpoint that fetches from a dark one gives no first token
before the caller leaves."""

ZONE_BIAS = 1.0
"""Calls in flight by which an endpoint in another zone must be better."""

SESSION_PROBED = 2
"""Endpoints of a prompt's session that are asked about: where its parts lie, and the
one that has them when the first one is full."""

OTHERS_PROBED = 2
"""Endpoints asked about beside those: with two at random, a session that draws many
calls doesn't pile up on its own. Each costs a call two datagrams."""

SURVEY_VALID_SECONDS = 0.03
"""How long a survey is good for: several dozen entries send some three prompts to each
endpoint in a second."""


class Offer(NamedTuple):
    """An endpoint that may take a call, and what the call would meet there.

    ``is_reported`` is false where only this entry's own calls are known.
    """

    state: EndpointState
    report: QueueReport
    is_reported: bool


class Placement(NamedTuple):
    """The endpoint that a call is sent to.

    ``tokens`` of its prompt are to be read there, after ``ahead`` others; what
    ``source`` keeps of it is fetched instead. ``reports`` is how many endpoints were
    told of, ``has_permit`` whether a permit was granted there, if calls are limited.
    """

    state: EndpointState
    ahead: int
    tokens: int
    source: EndpointState | None
    reports: int = 0
    has_permit: bool | None = None


class Survey(NamedTuple):
    """Where a call would go now, none if there is no endpoint left.

    ``seconds_ahead`` is how long the prompts ahead of it take there, if that is known.
    ``is_rate_limited`` is set if endpoints were asked about and none of them accepts
    another call in this second.
    """

    at: float
    placement: Placement | None
    seconds_ahead: float | None
    is_rate_limited: bool = False


class Surveyor:
    """Asks about a few of the endpoints that may take a call, and chooses one."""

    def __init__(
        self,
        zone: str,
        endpoints: EndpointTable,
        sessions: SessionMemory,
        probes: QueueProbes,
        entry_count: Callable[[], int],
        is_suspected: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        self.zone = zone
        self.endpoints = endpoints
        self.cold_endpoints = endpoints.cold_endpoints
        self.sessions = sessions
        self.probes = probes
        self.entry_count = entry_count
        self.is_suspected = is_suspected
        self.clock = clock

    def is_usable(self, survey: Survey) -> bool:
        """Tell whether a call may still be sent by a survey."""
        if self.clock() - survey.at > SURVEY_VALID_SECONDS:
            return False
        placement = survey.placement
        return placement is None or self.cold_endpoints.may_send(
            placement.state, placement.has_permit
        )

    def _permit_limit(self, endpoint: Endpoint) -> PermitLimit | None:
        state = self.endpoints.states.get(endpoint.name)
        return None if state is None else self.cold_endpoints.permit_limit(state)

    async def survey(self, admitted: Admitted, tried: Collection[str]) -> Survey:
        """Ask about some endpoints and choose one of them."""
        eligible = self._eligible(admitted, tried)
        queried = self._shortlist(admitted, eligible)
        reports = await self.probes.ask(
            (state.endpoint for state in queried),
            admitted.priority,
            admitted.call.parts,
            self._permit_limit,
        )
        offered = [self._make_offer(admitted, state, reports) for state in queried]
        offers = [
            offer
            for offer in offered
            if self.cold_endpoints.may_send(offer.state, offer.report.has_permit)
        ]
        if offered and not offers:
            full_surveys.labels(admitted.service.name).inc()
            return Survey(self.clock(), None, None, is_rate_limited=True)
        reported = [offer for offer in offers if offer.is_reported]
        return self._choose(admitted, reported or offers)

    def _eligible(
        self, admitted: Admitted, tried: Collection[str]
    ) -> list[EndpointState]:
        """Return the endpoints that may be sent a call."""
        service = admitted.service
        states = self.endpoints.candidates(service.name)
        share = service.max_connections * CONNECTION_SHARE / self.entry_count()
        now = self.clock()
        open_to = [
            state
            for state in states
            if state.endpoint.name not in tried and state.in_flight < max(1, share)
        ]
        return [state for state in open_to if not state.is_doubted(now)] or open_to

    def _shortlist(
        self, admitted: Admitted, eligible: list[EndpointState]
    ) -> list[EndpointState]:
        """Return the few endpoints to ask about, the session's first ones first.

        A call without a prompt has no session: those of its own zone come first.
        """
        with_known_queue = [
            state for state in eligible if self.probes.is_known(state.endpoint)
        ]
        by_name = {state.endpoint.name: state for state in with_known_queue or eligible}
        if self.is_suspected(admitted.fingerprint):
            # All entries send each suspect to an endpoint of its own, so that an end
            # tells which of them is the cause, and costs few endpoints.
            assigned = rendezvous(admitted.fingerprint, by_name, 1)
            return [by_name[name] for name in assigned]
        if admitted.call.parts:
            session = self.sessions.session_of(admitted.call.parts)
            first = list(rendezvous(session, by_name, SESSION_PROBED))
        else:
            in_own_zone = [
                name for name in by_name if self._is_in_own_zone(by_name[name])
            ]
            first = sample(in_own_zone, min(SESSION_PROBED, len(in_own_zone)))
        rest = [name for name in by_name if name not in first]
        others = sample(rest, min(OTHERS_PROBED, len(rest)))
        return [by_name[name] for name in (*first, *others)]

    def _make_offer(
        self,
        admitted: Admitted,
        state: EndpointState,
        reports: Mapping[str, QueueReport],
    ) -> Offer:
        """Return what an endpoint offers, by what is told or by own calls only."""
        report = reports.get(state.endpoint.name)
        if report is None:
            unread = self.sessions.uncached(state.endpoint.name, admitted.call.parts)
            ahead = state.ahead_of(admitted.priority)
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
            best = min(offers, key=self._load)
            placement = Placement(
                best.state, 0, 0, None, reports, best.report.has_permit
            )
            return Survey(now, placement, None)
        best = self._best_for_prompt(offers)
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

    def _best_for_prompt(self, offers: list[Offer]) -> Offer:
        least = min(offer.report.unread for offer in offers)
        states = self.endpoints.states.values()
        usual = usual_pace(state.pace for state in states)
        places = [
            PromptPlace(
                offer.state.endpoint.name,
                offer.report.ahead,
                least,
                offer.report.unread - least,
                slowness(offer.state.pace, usual),
                offer.report.running,
            )
            for offer in offers
        ]
        chosen = choose_place(places)
        return offers[places.index(chosen)]

    def _load(self, offer: Offer) -> float:
        bias = 0.0 if self._is_in_own_zone(offer.state) else ZONE_BIAS
        return offer.report.running + bias + random() * 0.5

    def _is_in_own_zone(self, state: EndpointState) -> bool:
        return state.endpoint.zone == self.zone

    def _fetch_source(self, best: Offer, offers: list[Offer]) -> Offer | None:
        """Return the endpoint from which parts of a prompt are to be fetched."""
        now = self.clock()
        others = {
            offer.state.endpoint.name: offer
            for offer in offers
            if offer is not best
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
