"""Keeps the origins of streams at several processes, and asks these for one.

An entry that begins a stream tells some others before the first event leaves, so that
the origin is known if the entry ends at once. The others are those that follow the
stream's key on the ring of all entries, so that each entry finds them without being
told. Later members of the ring are asked too: they were the first ones before entries
were added. A gateway, found in the same way, knows the origin if all entries end at
once. A process that starts gets the origins that it should keep.
"""

from asyncio import Future, get_running_loop, timeout, wait
from collections.abc import Callable, Iterable
from contextlib import suppress
from itertools import count, islice
from random import randrange
from typing import NamedTuple

from clementinebend_records.identifiers import Incarnation, process_name_of
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.messages import Message
from clementinebend_relay.origin_batches import (
    BATCH_INTERVAL,
    CHECKED_AT_ONCE,
    origin_batches,
    ring_key,
)
from clementinebend_relay.origin_keeper import OriginKeeper, known_origin
from clementinebend_relay.origin_messages import (
    OriginAnswerMessage,
    OriginMessage,
    OriginRequestMessage,
    OriginsMessage,
    ReportedOrigin,
)
from clementinebend_relay.stream_origins import (
    KnownOrigin,
    StreamKey,
    StreamOrigin,
)
from clementinebend_transport.client_connection import Address

REPLICAS = 3
"""Number of other entries that keep the origin of a stream."""

MAX_ASKED = 6
"""Number of entries that are asked for an origin."""

GATEWAY_REPLICAS = 1
"""Number of gateways that keep the origin of a stream."""

MAX_GATEWAYS_ASKED = 4
"""Number of gateways that are asked for an origin: some of the first ones may have been
added since the stream began, or have ended."""

ASK_INTERVAL = 0.04
"""Seconds after which entries that have not answered are asked again."""

MAX_ROUNDS = 4
"""How often an entry is asked."""

STARTUP_WAIT = 0.3
"""Seconds for which an entry that has just started waits to know the others."""

MAX_SEARCHED = 32
"""Number of gateways among which those beside an announced endpoint are searched."""

Processes = list[Announcement]
"""The announcements of some processes."""


class Lookup(NamedTuple):
    """The outcome of asking for an origin.

    ``known`` is None if nobody knows it, ``asked`` and ``answered`` count processes,
    and ``seconds`` is how long it took.
    """

    known: KnownOrigin | None
    asked: int = 0
    answered: int = 0
    seconds: float = 0.0


class Question(NamedTuple):
    """A question to other processes that is open.

    ``waiting`` holds the addresses that have not answered.
    """

    waiting: set[Address]
    outcome: Future[KnownOrigin | None]


class OriginReplicas:
    """Tells origins to other processes, asks for them, and keeps those of others."""

    def __init__(
        self,
        name: str,
        boot: str,
        zone: str,
        directory: Directory,
        gateways: Directory,
        send: Callable[[Message, Address], None],
        send_all: Callable[[Message, Iterable[Address]], None],
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.boot = boot
        self.zone = zone
        self.directory = directory
        self.gateways = gateways
        self.send = send
        self.send_all = send_all
        self.clock = clock
        self.keeper = OriginKeeper(boot, send, clock)
        self.table = self.keeper.table
        self.is_host_used: Callable[[str], bool] = lambda host: True
        """Returns whether an endpoint is announced on a host, so that it runs."""
        self.questions: dict[int, Question] = {}
        self.numbers = count(randrange(2**32))

    def tell(self, key: StreamKey, origin: StreamOrigin, seconds: float) -> None:
        """Keep the origin of a stream for some seconds, here and elsewhere."""
        if not self.table.put(key, origin, seconds, self.boot):
            return
        report = ReportedOrigin(*key, *origin, seconds, 0.0)
        message = OriginsMessage(self.boot, (report,))
        self.send_all(message, self._replicas_of(key))

    async def find(self, key: StreamKey, max_wait: float) -> Lookup:
        """Return the origin of a stream, from this entry or from other processes.

        Waits at most ``max_wait`` seconds. That nobody knows an origin proves nothing.
        """
        known = self.table.get(key)
        if known is not None:
            return Lookup(known)
        await self._wait_for_directories(max_wait)
        asked = [*self._ring(key, MAX_ASKED), *self._gateways(key, MAX_GATEWAYS_ASKED)]
        if not asked:
            return Lookup(None)
        began, number = self.clock(), next(self.numbers)
        waiting = {item.address for item in asked}
        question = Question(waiting, get_running_loop().create_future())
        self.questions[number] = question
        message = OriginRequestMessage(self.boot, number, *key)
        try:
            known = await self._ask(message, question, began + max_wait)
        finally:
            del self.questions[number]
        answered = len(asked) - len(question.waiting)
        return Lookup(known, len(asked), answered, self.clock() - began)

    async def _wait_for_directories(self, max_wait: float) -> None:
        """Wait until the other processes are known, just after the start."""
        with suppress(TimeoutError):
            async with timeout(min(max_wait, STARTUP_WAIT)):
                await self.directory.known.wait()
                await self.gateways.known.wait()

    async def _ask(
        self, message: OriginRequestMessage, question: Question, until: float
    ) -> KnownOrigin | None:
        for _ in range(MAX_ROUNDS):
            for address in question.waiting:
                self.send(message, address)
            left = min(ASK_INTERVAL, until - self.clock())
            if left <= 0.0:
                break
            await wait((question.outcome,), timeout=left)
            if question.outcome.done():
                return question.outcome.result()
        return None

    def on_message(self, message: OriginMessage, sender: Address) -> None:
        """Apply a message; ignore those of processes that are not known."""
        if not self._is_known(message.boot, sender):
            log_decision("datagram refused", sender=message.boot, problem="no entry")
        elif isinstance(message, OriginAnswerMessage):
            self._on_answer(message, sender)
        else:
            self.keeper.on_message(message, sender)

    def on_new_entry(self, name: str) -> None:
        """Send an entry that has started the origins that it should keep."""
        if name != self.name:
            address = self.directory.announcements[name].address
            self._hand_over(address, lambda key: self._ring(key, MAX_ASKED))

    def on_new_gateway(self, name: str) -> None:
        """Send a gateway that has started the origins that it should keep."""
        address = self.gateways.announcements[name].address
        self._hand_over(address, lambda key: self._gateways(key, MAX_GATEWAYS_ASKED))

    def _hand_over(
        self, address: Address, keepers: Callable[[StreamKey], Processes]
    ) -> None:
        """Send a process the origins that it keeps, a few at a time."""
        keys = [key for key, _ in self.table.items()]
        loop = get_running_loop()
        for number, start in enumerate(range(0, len(keys), CHECKED_AT_ONCE)):
            some = keys[start : start + CHECKED_AT_ONCE]
            pause = number * BATCH_INTERVAL
            loop.call_later(pause, self._send_kept, some, address, keepers)

    def _send_kept(
        self,
        keys: list[StreamKey],
        address: Address,
        keepers: Callable[[StreamKey], Processes],
    ) -> None:
        """Send a process those of some origins that it keeps."""
        reports = [
            report
            for key in keys
            if any(item.address == address for item in keepers(key))
            and (report := self.keeper.report(key)) is not None
        ]
        for message in origin_batches(self.boot, reports):
            self.send(message, address)

    def _is_known(self, boot: str, sender: Address) -> bool:
        """Return whether an address is that of a process, in any of its boots."""
        name = process_name_of(Incarnation(boot))
        known = (self.directory.announcements, self.gateways.announcements)
        items = (each.get(name) for each in known)
        return any(item is not None and item.address == sender for item in items)

    def _on_answer(self, message: OriginAnswerMessage, sender: Address) -> None:
        question = self.questions.get(message.number)
        if question is None or sender not in question.waiting:
            return
        question.waiting.discard(sender)
        if question.outcome.done():
            return
        if message.origin is not None:
            known = known_origin(message.origin, message.boot, self.clock())
            question.outcome.set_result(known)
        elif not question.waiting:
            question.outcome.set_result(None)

    def _replicas_of(self, key: StreamKey) -> Iterable[Address]:
        """Return the other processes that keep an origin; one is in another zone."""
        members = self._ring(key, MAX_ASKED)
        chosen, others = members[:REPLICAS], members[REPLICAS:]
        remote = [item for item in others if item.zone != self.zone]
        if remote and all(item.zone == self.zone for item in chosen):
            chosen = [*chosen[:-1], remote[0]]
        gateways = self._gateways(key, GATEWAY_REPLICAS)
        return [item.address for item in (*chosen, *gateways)]

    def _ring(self, key: StreamKey, most: int) -> Processes:
        """Return other entries, from the first one that follows a key on."""
        names = self.directory.members_from(ring_key(key))
        others = (name for name in names if name != self.name)
        return [self.directory.announcements[name] for name in islice(others, most)]

    def _gateways(self, key: StreamKey, most: int) -> Processes:
        """Return gateways, from the first one that follows a key on.

        Those without an endpoint on their host come last: it was probably removed
        with its endpoint. An announcement of a gateway does not expire.
        """
        names = islice(self.gateways.members_from(ring_key(key)), MAX_SEARCHED)
        items = [self.gateways.announcements[name] for name in names]
        items.sort(key=lambda item: not self.is_host_used(item.host))
        return items[:most]
