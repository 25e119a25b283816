"""Keeps the origins of streams at several entries, and asks these for one.

An entry that begins a stream tells some others before the first event leaves, so that
the origin is known if the entry ends at once. The others are those that follow the
stream's key on the ring of all entries, so that each entry finds them without being
told. Later members of the ring are asked too: they were the first ones before entries
were added. An entry that starts gets the origins that it should keep.
"""

from asyncio import Future, get_running_loop, timeout, wait
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from itertools import count, islice
from math import isfinite
from random import randrange
from typing import NamedTuple

from clementinebend_records.identifiers import Incarnation, process_name_of
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.messages import Message
from clementinebend_relay.origin_messages import (
    OriginAnswerMessage,
    OriginMessage,
    OriginRequestMessage,
    OriginsMessage,
    ReportedOrigin,
)
from clementinebend_relay.stream_origins import (
    KnownOrigin,
    OriginTable,
    StreamKey,
    StreamOrigin,
)
from clementinebend_transport.client_connection import Address

REPLICAS = 3
"""Number of other entries that keep the origin of a stream."""

MAX_ASKED = 6
"""Number of entries that are asked for an origin."""

ASK_INTERVAL = 0.04
"""Seconds after which entries that have not answered are asked again."""

MAX_ROUNDS = 4
"""How often an entry is asked."""

STARTUP_WAIT = 0.3
"""Seconds for which an entry that has just started waits to know the others."""

BATCH_SIZE = 12
"""Origins in one datagram: it then fits into one packet."""

CHECKED_AT_ONCE = 100
"""Origins that are checked in a row for an entry that has started: about 1 ms."""

BATCH_INTERVAL = 0.005
"""Seconds between two such rows."""

KEY_SEPARATOR = "\0"
"""Cannot occur in the name of a team or in an HTTP header."""


class Lookup(NamedTuple):
    """The outcome of asking for an origin.

    ``known`` is None if nobody knows it, ``asked`` and ``answered`` count entries, and
    ``seconds`` is how long it took.
    """

    known: KnownOrigin | None
    asked: int = 0
    answered: int = 0
    seconds: float = 0.0


class Question(NamedTuple):
    """A question to other entries that is open.

    ``waiting`` holds the addresses that have not answered.
    """

    waiting: set[Address]
    outcome: Future[KnownOrigin | None]


class OriginReplicas:
    """Tells origins to other entries, asks for them, and keeps those of others."""

    def __init__(
        self,
        name: str,
        boot: str,
        zone: str,
        directory: Directory,
        send: Callable[[Message, Address], None],
        send_all: Callable[[Message, Iterable[Address]], None],
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.boot = boot
        self.zone = zone
        self.directory = directory
        self.send = send
        self.send_all = send_all
        self.clock = clock
        self.table = OriginTable(clock)
        self.questions: dict[int, Question] = {}
        self.numbers = count(randrange(2**32))

    def tell(self, key: StreamKey, origin: StreamOrigin, seconds: float) -> None:
        """Keep the origin of a stream for some seconds, here and at other entries."""
        if not self.table.put(key, origin, seconds, self.boot):
            return
        report = ReportedOrigin(*key, *origin, seconds, 0.0)
        message = OriginsMessage(self.boot, (report,))
        self.send_all(message, self._replicas_of(key))

    async def find(self, key: StreamKey, max_wait: float) -> Lookup:
        """Return the origin of a stream, from this entry or from others.

        Waits at most ``max_wait`` seconds. That nobody knows an origin proves nothing.
        """
        known = self.table.get(key)
        if known is not None:
            return Lookup(known)
        await self._wait_for_directory(max_wait)
        asked = [item.address for item in islice(self._ring(key), MAX_ASKED)]
        if not asked:
            return Lookup(None)
        began, number = self.clock(), next(self.numbers)
        question = Question(set(asked), get_running_loop().create_future())
        self.questions[number] = question
        message = OriginRequestMessage(self.boot, number, *key)
        try:
            known = await self._ask(message, question, began + max_wait)
        finally:
            del self.questions[number]
        answered = len(asked) - len(question.waiting)
        return Lookup(known, len(asked), answered, self.clock() - began)

    async def _wait_for_directory(self, max_wait: float) -> None:
        """Wait until the other entries are known, just after the start."""
        if not self.directory.known.is_set():
            with suppress(TimeoutError):
                async with timeout(min(max_wait, STARTUP_WAIT)):
                    await self.directory.known.wait()

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
        name = process_name_of(Incarnation(message.boot))
        announced = self.directory.announcements.get(name)
        if announced is None or announced.address != sender:
            log_decision("datagram refused", sender=message.boot, problem="no entry")
            return
        match message:
            case OriginsMessage():
                for report in message.origins:
                    self._keep(report, message.boot)
            case OriginRequestMessage():
                self._answer(message, sender)
            case OriginAnswerMessage():
                self._on_answer(message, sender)

    def on_new_boot(self, name: str) -> None:
        """Send an entry that has started the origins that it should keep."""
        if name == self.name:
            return
        address = self.directory.announcements[name].address
        keys = [key for key, _ in self.table.items()]
        loop = get_running_loop()
        for number, start in enumerate(range(0, len(keys), CHECKED_AT_ONCE)):
            some = keys[start : start + CHECKED_AT_ONCE]
            loop.call_later(number * BATCH_INTERVAL, self._hand_over, some, address)

    def _hand_over(self, keys: list[StreamKey], address: Address) -> None:
        """Send an entry those of some origins that it should keep."""
        reports = [
            self._report(key, known)
            for key in keys
            if (known := self.table.get(key)) is not None
            and known.origin is not None
            and self._is_kept_by(key, address)
        ]
        for start in range(0, len(reports), BATCH_SIZE):
            batch = tuple(reports[start : start + BATCH_SIZE])
            self.send(OriginsMessage(self.boot, batch), address)

    def _is_kept_by(self, key: StreamKey, address: Address) -> bool:
        return any(
            item.address == address for item in islice(self._ring(key), MAX_ASKED)
        )

    def _keep(self, report: ReportedOrigin, source: str) -> None:
        if not isfinite(report.seconds_left):
            return
        key = StreamKey(report.team, report.request_id)
        origin = StreamOrigin(report.service, report.software_version)
        self.table.put(key, origin, report.seconds_left, source)

    def _answer(self, message: OriginRequestMessage, sender: Address) -> None:
        key = StreamKey(message.team, message.request_id)
        known = self.table.get(key)
        is_known = known is not None and known.origin is not None
        report = self._report(key, known) if known is not None and is_known else None
        self.send(OriginAnswerMessage(self.boot, message.number, report), sender)

    def _on_answer(self, message: OriginAnswerMessage, sender: Address) -> None:
        question = self.questions.get(message.number)
        if question is None or sender not in question.waiting:
            return
        question.waiting.discard(sender)
        if question.outcome.done():
            return
        if message.origin is not None:
            question.outcome.set_result(self._known(message.origin, message.boot))
        elif not question.waiting:
            question.outcome.set_result(None)

    def _known(self, report: ReportedOrigin, source: str) -> KnownOrigin:
        now = self.clock()
        origin = StreamOrigin(report.service, report.software_version)
        since, until = now - report.age, now + report.seconds_left
        return KnownOrigin(origin, since, until, source)

    def _report(self, key: StreamKey, known: KnownOrigin) -> ReportedOrigin:
        now = self.clock()
        assert known.origin is not None
        return ReportedOrigin(*key, *known.origin, known.until - now, now - known.since)

    def _replicas_of(self, key: StreamKey) -> Iterable[Address]:
        """Return the other entries that keep an origin; one is in another zone."""
        members = list(islice(self._ring(key), MAX_ASKED))
        chosen, others = members[:REPLICAS], members[REPLICAS:]
        remote = [item for item in others if item.zone != self.zone]
        if remote and all(item.zone == self.zone for item in chosen):
            chosen = [*chosen[:-1], remote[0]]
        return [item.address for item in chosen]

    def _ring(self, key: StreamKey) -> Iterator[Announcement]:
        """Yield the other entries, from the first one that follows a key on."""
        names = self.directory.members_from(KEY_SEPARATOR.join(key))
        announcements = self.directory.announcements
        return (announcements[name] for name in names if name != self.name)
