"""Sends single attempts to endpoints and tracks the calls in flight."""

from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from expression import Result

from clementinebend_admission.retry_window import RetryLimits, RetryWindow
from clementinebend_relay.admission import Admitted
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.endpoint_state import EndpointState, UnreadCall
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.interfaces import Dispatch, HttpProtocol, Notice, Verdict
from clementinebend_relay.leaving_notifier import LeavingNotifier
from clementinebend_relay.limited_rejections import LimitedRejections
from clementinebend_relay.models import Call, Endpoint, boot_name
from clementinebend_relay.peers import Peers
from clementinebend_relay.permit_requests import PermitRequests
from clementinebend_relay.quarantine.end_detector import EndDetector
from clementinebend_relay.quarantine.state import Quarantine
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_relay.survey import Placement, Survey, Surveyor
from clementinebend_routing.prefill import on_first_token
from clementinebend_routing.sessions import SessionTracker
from clementinebend_transport.http_client import HttpClient, OpenAnswer

CONNECT_TIMEOUT = 0.4
"""Timeout in seconds for opening a connection.

It is about a hundred times a round trip between zones, and short enough that another
endpoint can still respond in time.
"""

NON_REPEATABLE_MAX_IDLE = 0.8
"""Longest idle time in seconds of a connection that a non-repeatable call reuses.

The shortest idle timeout that endpoints announce is 1 s.
"""


class ResponseStarted(NamedTuple):
    """The head of an endpoint's response has arrived."""

    state: EndpointState
    answer: OpenAnswer
    verdict: Verdict


class NotSent(NamedTuple):
    """No byte of the call was sent."""

    problem: str


class ResponseLost(NamedTuple):
    """The call was sent and got no usable response, so it may have run.

    ``broke_off`` is set if the connection closed before the head of a response.
    """

    problem: str
    broke_off: bool = False


class Dispatcher:
    """Sends attempts and updates the in-flight counters in the endpoints' states."""

    def __init__(
        self,
        zone: str,
        endpoints: EndpointTable,
        peers: Peers,
        sessions: SessionTracker,
        probes: QueueProbes,
        client: HttpClient,
        protocol: HttpProtocol,
        retry_limits: RetryLimits,
        quarantine: Quarantine,
        ends: EndDetector,
        leaving: LeavingNotifier,
        permits: PermitRequests,
        clock: Callable[[], float],
    ) -> None:
        self.endpoints = endpoints
        self.peers = peers
        self.client = client
        self.protocol = protocol
        self.retry_limits = retry_limits
        self.clock = clock
        self.sessions = sessions
        self.probes = probes
        self.quarantine = quarantine
        self.ends = ends
        self.leaving = leaving
        self.limits = permits.limits
        self.permits = permits
        self.limited_rejections = LimitedRejections(endpoints, peers.entry_count, clock)
        self.surveyor = Surveyor(
            zone,
            endpoints,
            sessions,
            probes,
            permits.limits,
            peers.entry_count,
            quarantine.confinement,
            clock,
        )
        endpoints.on_announced = self._on_announced
        endpoints.on_drop = self._on_endpoint_dropped
        self.retries: dict[str, RetryWindow] = {}

    def _on_endpoint_dropped(self, endpoint: Endpoint) -> None:
        """Discard the prompts and idle connections kept for a boot that is gone."""
        self.sessions.remove_endpoint(endpoint.name)
        self.client.close_idle(endpoint.address)
        self.ends.on_gone(endpoint)
        self.limits.forget(boot_name(endpoint))

    def _on_announced(self, endpoint: Endpoint) -> None:
        self.quarantine.on_announced(boot_name(endpoint))

    def retry_window(self, service: str) -> RetryWindow:
        """Return this entry's retry window for a service."""
        return self.retries.setdefault(service, RetryWindow())

    def on_request(self, service: str, arrived_at: float) -> None:
        """Count a request for a service, for the retry budget that it earns."""
        self.retry_window(service).on_request(self.retry_limits, arrived_at)

    def may_retry(self, service: str) -> bool:
        """Return whether the fleet's retry budget allows a retry; count it if so."""
        entries = self.peers.entry_count()
        window = self.retry_window(service)
        return window.may_retry(self.retry_limits, entries, self.clock())

    def has_retry(self, service: str) -> bool:
        """Return whether the fleet's retry budget allows a retry now."""
        entries = self.peers.entry_count()
        window = self.retry_window(service)
        return window.has_retry(self.retry_limits, entries, self.clock())

    async def survey(self, admitted: Admitted, tried: Collection[str]) -> Survey:
        """Query the queues of some endpoints and choose one of them."""
        return await self.surveyor.survey(admitted, tried)

    def is_usable(self, survey: Survey) -> bool:
        """Return whether a survey is recent enough to send a call by it."""
        return self.surveyor.is_usable(survey)

    async def has_permit(self, admitted: Admitted, state: EndpointState) -> bool:
        """Return whether a call may be sent to an endpoint by its request limit.

        The permit is for one request, which must be sent at once.
        """
        if not self.limits.needs_permit(state):
            return True
        request_id = admitted.call.request_id
        return await self.permits.request(request_id, state, admitted.call_class)

    @contextmanager
    def in_flight(self, admitted: Admitted, placement: Placement) -> Iterator[None]:
        """Count an attempt as in flight, and report it to the queue keeper."""
        call, state = admitted.call, placement.state
        source = placement.source
        fetch_from = None if source is None else source.endpoint.address
        state.add_unread(
            call.request_id,
            UnreadCall(
                admitted.priority,
                placement.tokens,
                placement.ahead,
                self.clock(),
                fetch_from,
            ),
        )
        state.on_tried()
        state.last_sent_at = self.clock()
        state.sent += 1
        state.in_flight += 1
        self.probes.on_sent(
            state.endpoint,
            call.request_id,
            admitted.priority,
            placement.tokens,
            call.parts,
            admitted.team.name,
        )
        try:
            yield
        finally:
            state.check_silence(self.clock())
            state.in_flight -= 1
            state.pop_unread(call.request_id)
            self.probes.on_ended(state.endpoint, call.request_id)

    def _mark_alive(self, boot: str) -> None:
        """Record that a boot of an endpoint has responded, so it has not ended."""
        self.ends.on_alive(boot)
        self.quarantine.on_alive(boot)

    def _apply_notice(
        self,
        request_id: str,
        state: EndpointState,
        answer: OpenAnswer,
        notice: Notice,
        sent_version: int,
    ) -> None:
        """Apply an endpoint's notice that it leaves, wants a pause or is limited."""
        self.limits.on_answer(request_id, state, sent_version, notice.max_rate)
        if not notice.is_leaving and notice.pause is None:
            return
        log_decision(
            "endpoint notice",
            request_id=request_id,
            endpoint=state.endpoint.name,
            status=answer.status,
            is_leaving=notice.is_leaving,
            pause_s=notice.pause,
        )
        if notice.is_leaving:
            self.leaving.on_leaving(state)
        if notice.pause is not None:
            state.on_pause(notice.pause, self.clock())

    def _on_head(
        self,
        call: Call,
        state: EndpointState,
        answer: OpenAnswer,
        sent_version: int,
    ) -> Verdict:
        """Apply the head of a response; return what it says about the call.

        ``sent_version`` is the version of the request limit when the call was sent.
        """
        state.on_heard(self.clock())
        verdict = self.protocol.classify_response(call, answer.status, answer.headers)
        notice = self.protocol.notice(answer.status, answer.headers)
        is_same = notice.endpoint == state.endpoint.name
        if verdict is Verdict.WRONG_ENDPOINT and is_same:
            verdict = Verdict.NOT_RUN
        if verdict not in (Verdict.WRONG_ENDPOINT, Verdict.FOREIGN):
            self._mark_alive(boot_name(state.endpoint))
            self._apply_notice(call.request_id, state, answer, notice, sent_version)
        return verdict

    def on_first_token(self, admitted: Admitted, state: EndpointState) -> None:
        """Record that an endpoint has read a call's prompt, and update its pace."""
        call = state.pop_unread(admitted.call.request_id)
        if call is None:
            return
        pool = self.endpoints.median_pace(admitted.service.name)
        if admitted.call.parts:
            request_id = admitted.call.request_id
            self.probes.on_read(state.endpoint, request_id, pool.seconds)
        elapsed = self.clock() - call.since
        tokens = call.ahead + call.tokens
        state.pace = on_first_token(state.pace, elapsed, tokens, pool)
        parts = admitted.call.parts
        self.sessions.record_prompt(parts)
        if self.endpoints.is_current(state):
            self.sessions.record_prefill(state.endpoint.name, parts)

    def on_answered(self, admitted: Admitted, state: EndpointState) -> None:
        """Report that the whole good answer of a call has arrived, if it is plain."""
        if not admitted.call.parts:
            self.probes.on_read(state.endpoint, admitted.call.request_id)

    async def open(
        self,
        admitted: Admitted,
        state: EndpointState,
        deadline: float,
        head_deadline: float,
        resume_after: str | None,
    ) -> ResponseStarted | NotSent | ResponseLost:
        """Send a call to an endpoint and wait for the head of the response."""
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
        idle_limit = (
            {} if admitted.route.may_repeat else {"max_idle": NON_REPEATABLE_MAX_IDLE}
        )
        sent_version = state.limit.version
        sent = await self.client.send(
            endpoint.address,
            request,
            call.body,
            max(0.0, head_deadline - now),
            CONNECT_TIMEOUT,
            **idle_limit,
        )
        match sent:
            case Result(tag="ok", ok=answer):
                verdict = self._on_head(call, state, answer, sent_version)
                return ResponseStarted(state, answer, verdict)
            case _:
                failure = sent.error
        self.endpoints.on_failure(state, failure.is_proof, failure.sent)
        log_decision(
            "attempt failed",
            request_id=call.request_id,
            endpoint=endpoint.name,
            may_have_run=failure.sent,
            problem=failure.message,
        )
        if not failure.sent:
            return NotSent(failure.message)
        return ResponseLost(failure.message, failure.broke_off)
