"""Choice of an endpoint for a call, and the sending of one attempt."""

from collections.abc import Callable, Collection, Iterator, Mapping
from contextlib import contextmanager
from random import random, sample
from typing import NamedTuple

from expression import Result

from clementinebend_admission.retry_window import RetryLimits, RetryWindow
from clementinebend_membership.rendezvous import rendezvous
from clementinebend_relay.admission import Admitted
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.endpoint_state import EndpointState, Unread
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.interfaces import Dispatch, HttpProtocol, Verdict
from clementinebend_relay.models import Endpoint
from clementinebend_relay.peers import Peers
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_routing.endpoint_queue import QueueReport
from clementinebend_routing.prefill import (
    Pace,
    PromptPlace,
    choose_place,
    on_first_token,
    slowness,
    usual_pace,
)
from clementinebend_routing.sessions import SessionMemory, best_source
from clementinebend_transport.http_client import HttpClient, OpenAnswer

CONNECT_SECONDS = 0.4
"""Time for a new connection: some hundred times a round trip between zones,
and short enough that another endpoint can still answer in time."""

ONCE_MAX_IDLE = 0.8
"""Seconds for which a connection may be idle and carry a call that cannot be
sent again: the shortest idle timeout that endpoints tell is 1 s."""

CONNECTION_SHARE = 0.9
"""Part of an endpoint's connections that the entries use together."""

FETCH_HEARD_SECONDS = 0.5
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

SURVEY_SECONDS = 0.03
"""How long a survey is good for: several dozen entries send some three prompts to each
endpoint in a second."""


class Offer(NamedTuple):
    """An endpoint that may take a call, and what the call would meet there.

    ``is_told`` is false where only this entry's own calls are known.
    """

    state: EndpointState
    report: QueueReport
    is_told: bool


class Placement(NamedTuple):
    """The endpoint that a call is sent to.

    ``tokens`` of its prompt are to be read there, after ``ahead`` others; what
    ``source`` keeps of it is fetched instead. ``reports`` is how many endpoints were
    told of.
    """

    state: EndpointState
    ahead: int
    tokens: int
    source: EndpointState | None
    reports: int = 0


class Survey(NamedTuple):
    """Where a call would go now, none if there is no endpoint left.

    ``seconds_ahead`` is how long the prompts ahead of it take there, if that is known.
    """

    at: float
    placement: Placement | None
    seconds_ahead: float | None


class Opened(NamedTuple):
    """The head of an endpoint's answer has come."""

    state: EndpointState
    answer: OpenAnswer
    verdict: Verdict


class NotSent(NamedTuple):
    """No byte of the call went out."""

    problem: str


class Lost(NamedTuple):
    """The call went out and no usable answer came: it may have run."""

    problem: str


class Dispatcher:
    """Sends attempts; what is in flight where is in the endpoints' states."""

    def __init__(
        self,
        zone: str,
        endpoints: EndpointTable,
        peers: Peers,
        sessions: SessionMemory,
        probes: QueueProbes,
        client: HttpClient,
        protocol: HttpProtocol,
        retry_limits: RetryLimits,
        clock: Callable[[], float],
    ) -> None:
        self.zone = zone
        self.endpoints = endpoints
        self.peers = peers
        self.client = client
        self.protocol = protocol
        self.retry_limits = retry_limits
        self.clock = clock
        self.sessions = sessions
        self.probes = probes
        endpoints.on_drop = self._forget
        self.retries: dict[str, RetryWindow] = {}

    def _forget(self, endpoint: Endpoint) -> None:
        """Forget the prompts and the idle connections of a boot that is gone."""
        self.sessions.forget(endpoint.name)
        self.client.close_idle(endpoint.address)

    def retry_window(self, service: str) -> RetryWindow:
        """Return this entry's retries for a service."""
        return self.retries.setdefault(service, RetryWindow())

    def may_retry(self, service: str) -> bool:
        """Tell whether the fleet's retry budget has one left here; take it."""
        entries = self.peers.entry_count()
        window = self.retry_window(service)
        return window.may_retry(self.retry_limits, entries, self.clock())

    async def survey(self, admitted: Admitted, tried: Collection[str]) -> Survey:
        """Ask about some endpoints and choose one of them."""
        fit = self._fit(admitted, tried)
        asked = self._shortlist(admitted, fit)
        reports = await self.probes.ask(
            (state.endpoint for state in asked), admitted.priority, admitted.call.parts
        )
        offers = [self._offer(admitted, state, reports) for state in asked]
        told = [offer for offer in offers if offer.is_told]
        return self._choose(admitted, told or offers)

    def _fit(self, admitted: Admitted, tried: Collection[str]) -> list[EndpointState]:
        """Return the endpoints that may be sent a call."""
        service = admitted.service
        states = self.endpoints.candidates(service.name)
        share = service.max_connections * CONNECTION_SHARE / self.peers.entry_count()
        now = self.clock()
        open_to = [
            state
            for state in states
            if state.endpoint.name not in tried and state.in_flight < max(1, share)
        ]
        return [state for state in open_to if not state.is_doubted(now)] or open_to

    def _shortlist(
        self, admitted: Admitted, fit: list[EndpointState]
    ) -> list[EndpointState]:
        """Return the few endpoints to ask about, the session's first ones first.

        A call without a prompt has no session: those of its own zone come first.
        """
        known = [state for state in fit if self.probes.is_known(state.endpoint)]
        by_name = {state.endpoint.name: state for state in known or fit}
        if admitted.call.parts:
            session = self.sessions.session_of(admitted.call.parts)
            first = list(rendezvous(session, by_name, SESSION_PROBED))
        else:
            near = [name for name in by_name if self._is_near(by_name[name])]
            first = sample(near, min(SESSION_PROBED, len(near)))
        rest = [name for name in by_name if name not in first]
        others = sample(rest, min(OTHERS_PROBED, len(rest)))
        return [by_name[name] for name in (*first, *others)]

    def _offer(
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
            return Offer(state, own, is_told=False)
        if report.pace is not None:
            state.pace = Pace(report.pace)
        return Offer(state, report, is_told=True)

    def _choose(self, admitted: Admitted, offers: list[Offer]) -> Survey:
        now = self.clock()
        if not offers:
            return Survey(now, None, None)
        reports = sum(offer.is_told for offer in offers)
        if not admitted.call.parts:
            best = min(offers, key=self._load)
            return Survey(now, Placement(best.state, 0, 0, None, reports), None)
        best = self._for_prompt(offers)
        source = self._fetch_source(best, offers)
        tokens = best.report.unread
        if source is not None:
            tokens = min(tokens, source.report.unread)
        ahead, pace = best.report.ahead, best.state.pace.seconds
        source_state = None if source is None else source.state
        placement = Placement(best.state, ahead, tokens, source_state, reports)
        return Survey(now, placement, None if pace is None else ahead * pace)

    def _for_prompt(self, offers: list[Offer]) -> Offer:
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
        bias = 0.0 if self._is_near(offer.state) else ZONE_BIAS
        return offer.report.running + bias + random() * 0.5

    def _is_near(self, state: EndpointState) -> bool:
        return state.endpoint.zone == self.zone

    @contextmanager
    def in_flight(self, admitted: Admitted, placement: Placement) -> Iterator[None]:
        """Count an attempt at an endpoint while it lasts, and tell of it."""
        call, state = admitted.call, placement.state
        source = placement.source
        fetch_from = None if source is None else source.endpoint.address
        state.add_unread(
            call.request_id,
            Unread(
                admitted.priority,
                placement.tokens,
                placement.ahead,
                self.clock(),
                fetch_from,
            ),
        )
        state.on_tried()
        state.in_flight += 1
        self.probes.on_sent(
            state.endpoint,
            call.request_id,
            admitted.priority,
            placement.tokens,
            call.parts,
        )
        try:
            yield
        finally:
            state.note_silence(self.clock())
            state.in_flight -= 1
            state.take_unread(call.request_id)
            self.probes.on_ended(state.endpoint, call.request_id)

    def on_first_token(self, admitted: Admitted, state: EndpointState) -> None:
        """Note that the prompt of a call has been read, and how long that took."""
        call = state.take_unread(admitted.call.request_id)
        if call is None:
            return
        self.probes.on_read(state.endpoint, admitted.call.request_id)
        elapsed = self.clock() - call.since
        state.pace = on_first_token(state.pace, elapsed, call.ahead + call.tokens)
        parts = admitted.call.parts
        self.sessions.remember(parts)
        self.sessions.was_read(state.endpoint.name, parts)

    def _fetch_source(self, best: Offer, offers: list[Offer]) -> Offer | None:
        """Return the endpoint from which parts of a prompt are to be fetched."""
        now = self.clock()
        others = {
            offer.state.endpoint.name: offer
            for offer in offers
            if offer is not best
            and offer.state.lapsed_at is None
            and not offer.state.is_doubted(now)
            and (offer.is_told or now - offer.state.heard_at < FETCH_HEARD_SECONDS)
        }
        unread = {name: offer.report.unread for name, offer in others.items()}
        source = best_source(best.report.unread, unread)
        return None if source is None else others[source]

    async def open(
        self,
        admitted: Admitted,
        state: EndpointState,
        deadline: float,
        head_by: float,
        resume_after: str | None,
    ) -> Opened | NotSent | Lost:
        """Send a call to an endpoint and wait for the head of the answer."""
        call, endpoint = admitted.call, state.endpoint
        now = self.clock()
        dispatch = Dispatch(
            endpoint,
            admitted.team.name or None,
            max(0.0, deadline - now),
            admitted.priority,
            resume_after,
            state.unread[call.request_id].fetch_from,
        )
        request = self.protocol.endpoint_request(call, dispatch)
        idle = {} if admitted.route.may_repeat else {"max_idle": ONCE_MAX_IDLE}
        sent = await self.client.send(
            endpoint.address,
            request,
            call.body,
            max(0.0, head_by - now),
            CONNECT_SECONDS,
            **idle,
        )
        match sent:
            case Result(tag="ok", ok=answer):
                state.on_heard(self.clock())
                verdict = self.protocol.judge(call, answer.status, answer.headers)
                return Opened(state, answer, verdict)
            case _:
                failure = sent.error
        if not failure.sent:
            state.on_unreachable(self.clock())
        self.endpoints.on_end(state, ok=False)
        log_decision(
            "attempt failed",
            request_id=call.request_id,
            endpoint=endpoint.name,
            may_have_run=failure.sent,
            problem=failure.message,
        )
        return Lost(failure.message) if failure.sent else NotSent(failure.message)
