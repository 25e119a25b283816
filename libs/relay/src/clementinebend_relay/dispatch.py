"""Choice of an endpoint for a call, and the sending of one attempt."""

from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from random import random
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
from clementinebend_routing.prefill import (
    PromptPlace,
    choose_place,
    on_first_token,
    slowness,
    usual_pace,
)
from clementinebend_routing.sessions import SessionMemory
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
"""Parts are fetched only from an endpoint that was heard so lately: an endpoint that
fetches from a dark one gives no first token before the caller leaves."""

ZONE_BIAS = 1.0
"""Calls in flight by which an endpoint in another zone must be better."""


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

    def choose(
        self, admitted: Admitted, tried: Collection[str]
    ) -> EndpointState | None:
        """Return the endpoint for the next attempt, none if there is none left."""
        service = admitted.service
        states = self.endpoints.candidates(service.name)
        share = service.max_connections * CONNECTION_SHARE / self.peers.entry_count()
        now = self.clock()
        open_to = [
            state
            for state in states
            if state.endpoint.name not in tried and state.in_flight < max(1, share)
        ]
        talking = [state for state in open_to if not state.is_doubted(now)]
        fit = talking or open_to
        if not fit:
            return None
        if admitted.call.parts:
            return self._for_prompt(admitted, fit)
        return min(fit, key=self._load)

    def _for_prompt(
        self, admitted: Admitted, fit: list[EndpointState]
    ) -> EndpointState:
        parts = admitted.call.parts
        session = self.sessions.session_of(parts)
        by_name = {state.endpoint.name: state for state in fit}
        ranked = rendezvous(session, by_name, len(by_name))
        unread = {name: self.sessions.uncached(name, parts) for name in by_name}
        least = min(unread.values())
        usual = usual_pace(state.pace for state in fit)
        places = [
            PromptPlace(
                name,
                self._ahead(by_name[name], admitted.priority),
                least,
                unread[name] - least,
                slowness(by_name[name].pace, usual),
                by_name[name].in_flight + self.peers.load(name).in_flight,
            )
            for name in ranked
        ]
        return by_name[choose_place(places).name]

    def seconds_ahead(self, admitted: Admitted) -> float | None:
        """Return how long the prompts ahead of a new one take at its best endpoint.

        None if no endpoint is there, or nothing is known of its pace yet.
        """
        state = self.choose(admitted, ())
        if state is None or state.pace.seconds is None:
            return None
        return self._ahead(state, admitted.priority) * state.pace.seconds

    def _ahead(self, state: EndpointState, priority: int) -> int:
        """Return the tokens that an endpoint reads before a new call's prompt.

        Of all entries; only calls that are as urgent or more count.
        """
        others = self.peers.load(state.endpoint.name).ahead_of(priority)
        return state.load().ahead_of(priority) + others

    def _load(self, state: EndpointState) -> float:
        others = self.peers.load(state.endpoint.name).in_flight
        bias = 0.0 if state.endpoint.zone == self.zone else ZONE_BIAS
        return state.in_flight + others + bias + random() * 0.5

    @contextmanager
    def in_flight(self, admitted: Admitted, state: EndpointState) -> Iterator[None]:
        """Count an attempt at an endpoint while it lasts."""
        call = admitted.call
        name = state.endpoint.name
        source = self._fetch_source(admitted, state)
        holder = name if source is None else source.endpoint.name
        tokens = self.sessions.uncached(holder, call.parts)
        ahead = self._ahead(state, admitted.priority)
        fetch_from = None if source is None else source.endpoint.address
        state.add_unread(
            call.request_id,
            Unread(admitted.priority, tokens, ahead, self.clock(), fetch_from),
        )
        state.on_tried()
        state.in_flight += 1
        try:
            yield
        finally:
            state.note_silence(self.clock())
            state.in_flight -= 1
            state.take_unread(call.request_id)

    def on_first_token(self, admitted: Admitted, state: EndpointState) -> None:
        """Note that the prompt of a call has been read, and how long that took."""
        call = state.take_unread(admitted.call.request_id)
        if call is None:
            return
        elapsed = self.clock() - call.since
        state.pace = on_first_token(state.pace, elapsed, call.ahead + call.tokens)
        parts = admitted.call.parts
        self.sessions.remember(parts)
        self.sessions.was_read(state.endpoint.name, parts)

    def _fetch_source(
        self, admitted: Admitted, state: EndpointState
    ) -> EndpointState | None:
        """Return the endpoint from which parts of a prompt are to be fetched."""
        parts = admitted.call.parts
        if not parts:
            return None
        now = self.clock()
        others = {
            other.endpoint.name: other
            for other in self.endpoints.candidates(admitted.service.name)
            if other is not state
            and other.lapsed_at is None
            and now - other.heard_at < FETCH_HEARD_SECONDS
            and not other.is_doubted(now)
        }
        source = self.sessions.fetch_source(state.endpoint.name, parts, others)
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
