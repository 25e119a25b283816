"""Budgets in this entry's hands: reservations, and the marks behind them.

One keeper task for each partition of the marks log reads it, works out the
marks this holder should have, and appends those that changed.
"""

from asyncio import Event, gather, sleep, timeout
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from random import random
from typing import NamedTuple
from zlib import crc32

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import decode, encode

from clementinebend_ledger.mark_account import MarkAccount
from clementinebend_ledger.mark_gifts import Wish, gift, wish
from clementinebend_ledger.mark_sizing import Allotment, allot
from clementinebend_ledger.marks import (
    Mark,
    MarkKey,
    empty_book,
    others,
    put_mark,
)
from clementinebend_platform_client.keyed_log import (
    Appended,
    Conflict,
    KeyedLog,
    KeyedRecord,
    Page,
    RecordsDropped,
    StoreFailure,
)
from clementinebend_relay.decisions import log_decision, log_dependency
from clementinebend_relay.models import Configuration, Team

COMMIT_SECONDS = 0.5
"""Pause between commits. A finished run must be settled within 1.5 s."""

CONFLICT_PAUSE = 0.004
"""Seconds after losing a race for the log's end; one append takes that long."""

FAILURE_PAUSE = 0.2
"""Seconds after a call that the store did not answer."""

LIVE_SECONDS = 6.0
"""A holder that wrote nothing for so long, while we could read, counts as dead
when what is left is shared. Nothing depends on it but the size of marks."""

REWRITE_SECONDS = 2.0
"""Longest time between records of a holder: a third of ``LIVE_SECONDS``."""

NO_MARK = Mark(0, 0, 0)

FRESH_SECONDS = 2.0
"""How old a reading of the marks may be for a refusal that is final."""

SEPARATOR = "/"
"""Between team and holder in a key; names of holders have none."""


class Reservation(NamedTuple):
    """Tokens set aside for one call."""

    team: str
    amount: int


class Short(NamedTuple):
    """A reservation that could not be made.

    ``is_spent`` is true if the budget has not that much left for anyone.
    ``left`` is what was left for live holders when the marks were last read,
    ``age`` seconds ago; both are ``None`` before the first reading.
    """

    is_spent: bool
    left: int | None
    age: float | None


class MarkKeeper:
    """The marks of some teams: one partition of the log, owned by one task."""

    def __init__(self, holder: str, log: KeyedLog, clock: Callable[[], float]) -> None:
        self.holder = holder
        self.log = log
        self.clock = clock
        self.book = empty_book()
        self.accounts: dict[str, MarkAccount] = {}
        self.prepaid: dict[str, int] = {}
        self.allotments: dict[str, Allotment] = {}
        self.written_at: float | None = None
        self.offset: int | None = None
        self.read_at: float | None = None
        self.lost_at: float | None = None
        self.heard: dict[str, float] = {}
        self.is_closing = False
        self.urgent = Event()
        self.changed = Event()

    def reserve(self, team: str, amount: int) -> bool:
        """Set tokens aside at once, if the marks allow it."""
        return self.account(team).reserve(amount)

    def account(self, team: str) -> MarkAccount:
        """Return the account of a team; a new one holds nothing."""
        account = self.accounts.get(team)
        if account is None:
            account = self.accounts[team] = MarkAccount(self.clock())
        return account

    def age(self) -> float | None:
        """Return the seconds since the log was last read."""
        return None if self.read_at is None else self.clock() - self.read_at

    def wake(self) -> None:
        """Let calls that wait for their budget look again."""
        self.changed.set()
        self.changed.clear()

    def is_fresh(self) -> bool:
        """Tell whether what was read last is good enough for a final refusal."""
        age = self.age()
        return age is not None and age < FRESH_SECONDS

    def short(self, team: str, amount: int) -> Short:
        """Return why ``amount`` cannot be set aside."""
        allotment = self.allotments.get(team)
        if allotment is None:
            return Short(False, None, self.age())
        is_spent = self.is_fresh() and allotment.unspent < amount
        return Short(is_spent, allotment.pool, self.age())

    async def run(self) -> None:
        """Keep the marks for ever."""
        while True:
            await self.commit()
            await self._pause()

    async def commit(self) -> bool:
        """Read the log, append what should change; return whether that worked."""
        for attempt in count(1):
            if not await self._read():
                return False
            marks = self._changes()
            if not marks:
                return True
            outcome = await self._append(marks)
            if not isinstance(outcome, Conflict):
                return isinstance(outcome, Appended)
            await sleep(CONFLICT_PAUSE * attempt * random())
        return False

    async def _append(
        self, marks: dict[str, Mark]
    ) -> Appended | Conflict | StoreFailure:
        """Append marks at the end that was read, and take what came of it."""
        end = self.book.end
        for team, mark in marks.items():
            self.account(team).propose(end, mark.ceiling)
        records = tuple((self._key(team), encode(mark)) for team, mark in marks.items())
        outcome = await self.log.append(records, end)
        match outcome:
            case Appended():
                self.written_at = self.clock()
                numbered = enumerate(records, end)
                own = tuple(
                    KeyedRecord(at, key, value) for at, (key, value) in numbered
                )
                self._take(Page(own, outcome.end_offset, True))
            case StoreFailure():
                self._lose(outcome)
                if not outcome.maybe_done:
                    for team in marks:
                        self.account(team).withdraw(end)
        return outcome

    async def _pause(self) -> None:
        self.urgent.clear()
        pause = FAILURE_PAUSE if self.lost_at is not None else COMMIT_SECONDS
        try:
            async with timeout(pause):
                await self.urgent.wait()
        except TimeoutError:
            return
        if self.lost_at is not None:
            await sleep(FAILURE_PAUSE)

    async def _read(self) -> bool:
        """Read to the end of the log; return whether that worked."""
        while True:
            if self.offset is None:
                outcome: Page | RecordsDropped | StoreFailure = await self.log.newest()
            else:
                outcome = await self.log.read(self.offset, 0.0)
            match outcome:
                case Page():
                    self._take(outcome)
                    if outcome.is_end:
                        return True
                case RecordsDropped():
                    self.offset = None
                case StoreFailure():
                    self._lose(outcome)
                    return False

    def _take(self, page: Page) -> None:
        now = self.clock()
        if self.lost_at is not None:
            lost_for = round(now - self.lost_at, 3)
            log_dependency("marks", is_lost=False, lost_for_s=lost_for)
            self.lost_at = None
        self.read_at = now
        for record in page.records:
            self._put(record, now)
        self.offset = page.next_offset
        self.book = self.book._replace(end=page.next_offset)
        for team, account in self.accounts.items():
            mark = self.book.teams.get(team, {}).get(self.holder)
            account.confirm(mark, self.book.end)
        self._size(now)
        self.wake()

    def _put(self, record: KeyedRecord, now: float) -> None:
        team, _, holder = record.key.rpartition(SEPARATOR)
        try:
            mark = decode(record.value, type=Mark) if record.value else None
        except (DecodeError, ValidationError) as error:
            log_decision("mark refused", key=record.key, problem=str(error))
            return
        put_mark(self.book, MarkKey(team, holder), mark, record.offset)
        self.heard[holder] = now

    def _size(self, now: float) -> None:
        """Work out what is left of each budget."""
        for team in self.prepaid:
            self.allotments[team] = self._allot(team, now)

    def _allot(self, team: str, now: float) -> Allotment:
        live = frozenset(
            name for name, at in self.heard.items() if now - at < LIVE_SECONDS
        )
        rest = others(self.book, team, self.holder)
        return allot(self.account(team), rest, live, self.prepaid[team], now)

    def _changes(self) -> dict[str, Mark]:
        """Return the marks that should change, by team.

        All are written again when nothing was for a while, so that the other
        holders see that this one lives.
        """
        now = self.clock()
        is_due = self.written_at is None or now - self.written_at > REWRITE_SECONDS
        marks = {}
        for team in self.prepaid:
            account = self.account(team)
            known = self.book.teams.get(team, {}).get(self.holder, NO_MARK)
            ceiling = self._allot(team, now).ceiling
            if self.is_closing:
                ceiling = account.used
            mark = Mark(ceiling, account.spent, int(account.rate(now)))
            if is_due or _differs(mark, known):
                marks[team] = mark
        return marks

    def _key(self, team: str) -> str:
        return f"{team}{SEPARATOR}{self.holder}"

    def _lose(self, failure: StoreFailure) -> None:
        if self.lost_at is None:
            self.lost_at = self.clock()
            log_dependency("marks", is_lost=True, problem=failure.message)


class Budgets:
    """All budgets of this entry, by team."""

    def __init__(
        self, holder: str, logs: tuple[KeyedLog, ...], clock: Callable[[], float]
    ) -> None:
        self.clock = clock
        self.ask: Callable[[str, Wish], None] = _ask_nobody
        self.keepers = tuple(MarkKeeper(holder, log, clock) for log in logs)

    async def release(self, within: float) -> None:
        """Give back what is not used, within some seconds: the process ends."""
        for keeper in self.keepers:
            keeper.is_closing = True
        with suppress(TimeoutError):
            async with timeout(within):
                await gather(*(keeper.commit() for keeper in self.keepers))

    def configure(self, configuration: Configuration) -> None:
        """Take the budgets of a configuration."""
        for keeper in self.keepers:
            keeper.prepaid = {
                team.name: team.prepaid
                for team in configuration.teams.values()
                if team.prepaid is not None and self.keeper(team.name) is keeper
            }
            keeper.urgent.set()

    def keeper(self, team: str) -> MarkKeeper:
        """Return who keeps the marks of a team; all entries find the same."""
        return self.keepers[crc32(team.encode()) % len(self.keepers)]

    async def reserve(
        self, team: Team, amount: int, wait: float
    ) -> Reservation | Short:
        """Set ``amount`` aside, waiting up to ``wait`` seconds for the store."""
        if team.prepaid is None or amount == 0:
            return Reservation(team.name, 0)
        keeper = self.keeper(team.name)
        keeper.account(team.name).demand(amount, self.clock())
        if keeper.reserve(team.name, amount):
            return Reservation(team.name, amount)
        short = keeper.short(team.name, amount)
        if short.left is not None and short.left < amount and keeper.is_fresh():
            return short
        self._ask(keeper, team.name, amount)
        account = keeper.account(team.name)
        account.waiting += amount
        try:
            async with timeout(wait):
                while not keeper.reserve(team.name, amount):
                    keeper.urgent.set()
                    await keeper.changed.wait()
        except TimeoutError:
            return keeper.short(team.name, amount)
        finally:
            account.waiting -= amount
        return Reservation(team.name, amount)

    def on_ask(self, team: str, asked: Wish) -> int:
        """Return what this entry hands over to one that asks."""
        account = self.keeper(team).account(team)
        amount = gift(account, asked, self.clock())
        account.give(amount)
        return amount

    def on_gift(self, team: str, amount: int) -> None:
        """Take what another entry has handed over."""
        keeper = self.keeper(team)
        keeper.account(team).take(amount)
        keeper.wake()

    def _ask(self, keeper: MarkKeeper, team: str, amount: int) -> None:
        account = keeper.account(team)
        self.ask(team, wish(account, amount + account.waiting, self.clock()))

    def settle(self, reservation: Reservation, spent: int) -> None:
        """Give back what a call did not use."""
        if reservation.amount == 0:
            return
        keeper = self.keeper(reservation.team)
        account = keeper.account(reservation.team)
        account.settle(reservation.amount, spent)
        if account.waiting:
            keeper.wake()


def _ask_nobody(team: str, asked: Wish) -> None:
    """Ask no other entry, before their addresses are known."""


def _differs(mark: Mark, known: Mark) -> bool:
    """Tell whether a change is worth a record: more, much less, or settled."""
    free = known.ceiling - known.spent
    step = max(1, free // 8)
    if abs(mark.ceiling - known.ceiling) >= step and mark.ceiling != known.ceiling:
        return True
    return mark.spent - known.spent >= step
