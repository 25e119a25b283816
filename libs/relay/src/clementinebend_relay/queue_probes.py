"""Probes of the processes that keep endpoints' queues, and reports to them."""

from asyncio import Future, get_running_loop, timeout
from collections import OrderedDict
from collections.abc import Callable, Iterable
from contextlib import suppress
from itertools import count
from typing import NamedTuple

from clementinebend_membership.rendezvous import rendezvous
from clementinebend_membership.suspicion import FailureDetector
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.messages import (
    EndedMessage,
    LimitReport,
    Message,
    ProbeMessage,
    PromptTurn,
    QueueMessage,
    ReadMessage,
    ReportMessage,
    SentMessage,
)
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_routing.cold_start import PermitLimit
from clementinebend_routing.endpoint_queue import QueueReport
from clementinebend_routing.request_limits import RequestLimit
from clementinebend_routing.request_permits import CallClass
from clementinebend_routing.sessions import PromptPart
from clementinebend_transport.client_connection import Address

PROBE_TIMEOUT = 0.015
"""How long a call waits for queue reports, in seconds.

A report takes about 3 ms. The timeout is a fortieth of a latency target of 0.6 s, far
less than choosing a good endpoint saves.
"""

SUSPECTED_RETRY_SECONDS = 0.5
"""Interval in seconds at which a suspected keeper is probed, to detect its return."""

MAX_CACHED_KEEPERS = 10_000
"""Maximum number of endpoints whose queue keeper is cached, about 2 MB."""

MAX_LATE_PROBES = 1_000
"""Maximum number of probes whose late reports are still used."""

OnLimit = Callable[[Endpoint, CallClass, LimitReport], None]
OnQueue = Callable[[Endpoint, QueueReport], None]
OnService = Callable[[Endpoint, float | None], None]


class PendingProbe(NamedTuple):
    """A probe that may still be answered, and the class of the call it is for.

    The endpoint's name is added to ``preceded`` if a prompt with precedence waits.
    """

    endpoint: Endpoint
    call_class: CallClass
    future: Future[QueueReport]
    preceded: set[str]


class QueueProbes:
    """Probes endpoints' queues, and reports this entry's calls to their keepers.

    The queue of an endpoint is kept by the gateway on its host. Without one there, all
    entries choose the same gateway by rendezvous hashing, or the same entry if there
    are no gateways.

    ``limit_of`` returns the request limit to tell a keeper with a probe, and
    ``on_limit`` is called with what a keeper reports of one. ``on_queue`` is called
    with each report of a queue, also one that comes after its call was sent, and
    ``on_service`` with the reported seconds for a plain call. While ``is_overloaded``,
    unanswered probes raise no suspicion.
    """

    def __init__(
        self,
        gateways: Directory,
        entries: Directory,
        send: Callable[[Message, Address], None],
        clock: Callable[[], float],
    ) -> None:
        self.gateways = gateways
        self.entries = entries
        self.send = send
        self.clock = clock
        self.numbers = count(1)
        self.pending: dict[int, PendingProbe] = {}
        self.late: OrderedDict[int, Endpoint] = OrderedDict()
        self.suspicions = FailureDetector()
        self.retried_at: dict[str, float] = {}
        self.silent: set[str] = set()
        self.keepers: dict[Endpoint, Announcement | None] = {}
        self.versions = (-1, -1)
        self.limit_of: Callable[[Endpoint], RequestLimit | None] = lambda _: None
        self.on_limit: OnLimit = lambda *_: None
        self.on_queue: OnQueue = lambda *_: None
        self.on_service: OnService = lambda *_: None
        self.is_overloaded: Callable[[], bool] = lambda: False

    def is_known(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's queue has a keeper that is expected to respond.

        A suspected keeper counts as such once every ``SUSPECTED_RETRY_SECONDS``.
        """
        keeper = self.keeper(endpoint)
        if keeper is None:
            return False
        now = self.clock()
        if not self.suspicions.is_suspected(keeper.boot, now):
            self._log_change(keeper.boot, is_silent=False)
            self.retried_at.pop(keeper.boot, None)
            return True
        self._log_change(keeper.boot, is_silent=True)
        if now - self.retried_at.setdefault(keeper.boot, now) < SUSPECTED_RETRY_SECONDS:
            return False
        self.retried_at[keeper.boot] = now
        return True

    async def ask(
        self,
        endpoints: Iterable[Endpoint],
        priority: int,
        parts: tuple[PromptPart, ...],
        permit_limit_of: Callable[[Endpoint], PermitLimit | None] = lambda endpoint: (
            None
        ),
        team: str = "",
        turn: PromptTurn | None = None,
        preceded: set[str] | None = None,
    ) -> dict[str, QueueReport]:
        """Return the reports that arrive in time, by endpoint name.

        Also requests a permit where ``permit_limit_of`` returns a limit. The names of
        endpoints where a prompt with precedence over ``turn`` waits are added to
        ``preceded``.
        """
        call_class = CallClass(priority, team)
        names = set[str]() if preceded is None else preceded
        sent = [
            self._send_probe(
                endpoint, call_class, parts, permit_limit_of(endpoint), turn, names
            )
            for endpoint in endpoints
        ]
        numbers = [number for number in sent if number is not None]
        asked = [self.pending[number] for number in numbers]
        try:
            with suppress(TimeoutError):
                async with timeout(PROBE_TIMEOUT):
                    for probe in asked:
                        await probe.future
        finally:
            for number in numbers:
                self._stop_waiting(number)
        return {
            probe.endpoint.name: probe.future.result()
            for probe in asked
            if _is_answered(probe)
        }

    def on_report(self, message: ReportMessage) -> None:
        """Accept a report; a late one is not used for the call that asked for it."""
        self.on_alive(message.boot)
        asked = self.pending.get(message.number)
        if asked is None:
            self._on_late_report(message)
            return
        keeper = self.keeper(asked.endpoint)
        if keeper is not None:  # its boot may be newer than the one announced
            self.suspicions.on_heard(keeper.boot)
        if message.limit is not None:
            self.on_limit(asked.endpoint, asked.call_class, message.limit)
        self.on_queue(asked.endpoint, message.report)
        self.on_service(asked.endpoint, message.service_seconds)
        if message.is_preceded:
            asked.preceded.add(asked.endpoint.name)
        if not asked.future.done():
            asked.future.set_result(message.report)

    def _on_late_report(self, message: ReportMessage) -> None:
        endpoint = self.late.pop(message.number, None)
        if endpoint is not None:
            self.on_queue(endpoint, message.report)
            self.on_service(endpoint, message.service_seconds)

    def _stop_waiting(self, number: int) -> None:
        """Remove a probe; the report of an unanswered one may come late."""
        probe = self.pending.pop(number)
        if _is_answered(probe):
            return
        self.late[number] = probe.endpoint
        if len(self.late) > MAX_LATE_PROBES:
            self.late.popitem(last=False)

    def on_alive(self, boot: str) -> None:
        """Record a message of a process that keeps queues."""
        self.suspicions.on_heard(boot)

    def notify(self, endpoint: Endpoint, message: QueueMessage) -> None:
        """Send a message to the keeper of an endpoint's queue, if one is known."""
        keeper = self.keeper(endpoint)
        if keeper is not None:
            self.send(message, keeper.address)

    def on_sent(
        self,
        endpoint: Endpoint,
        request: str,
        priority: int,
        tokens: int,
        parts: tuple[PromptPart, ...],
        team: str = "",
    ) -> None:
        """Report that a call is sent to an endpoint."""
        name = boot_name(endpoint)
        self.notify(endpoint, SentMessage(name, request, priority, tokens, parts, team))

    def on_read(
        self, endpoint: Endpoint, request: str, pool_pace: float | None = None
    ) -> None:
        """Report that a call's first token, or its whole plain answer, has arrived."""
        name, slots = boot_name(endpoint), endpoint.slots
        self.notify(endpoint, ReadMessage(name, request, pool_pace, slots))

    def on_ended(self, endpoint: Endpoint, request: str) -> None:
        """Report that a call has ended."""
        self.notify(endpoint, EndedMessage(boot_name(endpoint), request))

    def _log_change(self, boot: str, is_silent: bool) -> None:
        if is_silent == (boot in self.silent):
            return
        self.silent ^= {boot}
        decision = "queue keeper silent" if is_silent else "queue keeper heard again"
        log_decision(decision, keeper=boot)

    def _send_probe(
        self,
        endpoint: Endpoint,
        call_class: CallClass,
        parts: tuple[PromptPart, ...],
        permit_limit: PermitLimit | None,
        turn: PromptTurn | None,
        preceded: set[str],
    ) -> int | None:
        keeper = self.keeper(endpoint)
        if keeper is None:
            return None
        number = next(self.numbers)
        future: Future[QueueReport] = get_running_loop().create_future()
        self.pending[number] = PendingProbe(endpoint, call_class, future, preceded)
        if not self.is_overloaded():
            self.suspicions.on_asked(keeper.boot, self.clock())
        limit = self.limit_of(endpoint)
        question = ProbeMessage(
            number,
            boot_name(endpoint),
            call_class.priority,
            parts,
            permit_limit,
            limit,
            "" if limit is None else call_class.team,
            turn,
        )
        self.send(question, keeper.address)
        return number

    def keeper(self, endpoint: Endpoint) -> Announcement | None:
        """Return the process that keeps an endpoint's queue, if any is known."""
        versions = (self.gateways.version, self.entries.version)
        if versions != self.versions:
            self.versions = versions
            self.keepers.clear()
            self._forget_ended()
        if len(self.keepers) > MAX_CACHED_KEEPERS:
            self.keepers.clear()
        if endpoint not in self.keepers:
            self.keepers[endpoint] = self._find_keeper(endpoint)
        return self.keepers[endpoint]

    def _forget_ended(self) -> None:
        known = (self.gateways.announcements, self.entries.announcements)
        boots = frozenset(item.boot for each in known for item in each.values())
        self.suspicions.retain_only(boots)
        self.silent &= boots
        self.retried_at = {
            boot: at for boot, at in self.retried_at.items() if boot in boots
        }

    def _find_keeper(self, endpoint: Endpoint) -> Announcement | None:
        gateways = self.gateways.announcements
        for item in gateways.values():
            if item.host == endpoint.address.host:
                return item
        announced = gateways or self.entries.announcements
        names = rendezvous(f"queue-{endpoint.name}", announced, 1)
        return announced[names[0]] if names else None


def _is_answered(probe: PendingProbe) -> bool:
    return probe.future.done() and not probe.future.cancelled()
