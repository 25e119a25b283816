"""Keeps this holder's marks in one partition of the log.

One task reads the partition, works out the marks the holder should have, and
appends those that changed on the condition that the log ends where it read.
"""

from asyncio import Event, Lock, sleep, timeout
from collections.abc import Callable
from itertools import count
from random import random
from typing import NamedTuple

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import decode, encode

from clementinebend_ledger.mark_account import MarkAccount
from clementinebend_ledger.mark_sizing import Allotment, allot
from clementinebend_ledger.mark_witness import is_opened, is_unopened
from clementinebend_ledger.marks import (
    HolderRecord,
    Mark,
    MarkKey,
    empty_book,
    others,
    put_holder,
    put_mark,
    reclaimable,
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
from clementinebend_relay.witnesses import Witnesses

COMMIT_SECONDS = 0.5
"""Pause between commits. A finished run must be settled within 1.5 s."""

STALLED_SECONDS = 0.05
"""How long a commit may take before the reserve is opened for calls that wait:
five times the usual. A log that is silent counts as lost only later."""

GUEST_SECONDS = 2.0
"""Pause between readings by an entry that is not the home of a partition."""

CONFLICT_PAUSE = 0.004
"""Seconds after losing a race for the log's end; one append takes that long."""

FAILURE_PAUSE = 0.2
"""Seconds after a call that the store did not answer."""

LIVE_SECONDS = 2.5
"""A holder that wrote nothing for so long, while we could read, is taken for
dead: its reserve is reclaimed if a witness agrees. A wrong guess costs the
holder one commit."""

REWRITE_SECONDS = 1.0
"""Longest time between records of a holder that lives."""

FRESH_SECONDS = 2.0
"""How old a reading of the marks may be for a refusal that is final."""

APPEND_WEIGHT = 0.3
"""Weight of one append in the time that appends are expected to take."""

NO_MARK = Mark(0, 0, 0, 0)
NO_RECORD = HolderRecord(0, ())

SEPARATOR = "/"
"""Between team and holder in a key; names of holders have none. A holder's
own record has an empty team."""


class Pending(NamedTuple):
    """An append whose outcome is not known: it lands at offset ``at`` or never."""

    at: int
    record: HolderRecord
    marks: dict[str, Mark]
    records: tuple[tuple[str, bytes], ...]


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

    def __init__(
        self,
        holder: str,
        log: KeyedLog,
        witnesses: Witnesses,
        is_succeeded: Callable[[str], bool],
        is_home: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.holder = holder
        self.log = log
        self.witnesses = witnesses
        self.is_succeeded = is_succeeded
        self.is_home = is_home
        self.clock = clock
        self.book = empty_book()
        self.accounts: dict[str, MarkAccount] = {}
        self.prepaid: dict[str, int] = {}
        self.allotments: dict[str, Allotment] = {}
        self.pending: Pending | None = None
        self.epoch = 0
        self.append_seconds = 0.0
        self.offset: int | None = None
        self.read_at: float | None = None
        self.lost_at: float | None = None
        self.called_at: float | None = None
        self.written_at: float | None = None
        self.heard: dict[str, float] = {}
        self.is_closing = False
        self.committing = Lock()
        self.urgent = Event()
        self.changed = Event()
        witnesses.on_attestation.append(self._on_attestation)

    def account(self, team: str) -> MarkAccount:
        """Return the account of a team; a new one holds nothing."""
        account = self.accounts.get(team)
        if account is None:
            account = self.accounts[team] = MarkAccount(self.clock())
            account.limit = self._limit(team)
        return account

    def age(self) -> float | None:
        """Return the seconds since the log was last read."""
        return None if self.read_at is None else self.clock() - self.read_at

    def is_fresh(self) -> bool:
        """Tell whether what was read last is good enough for a final refusal."""
        age = self.age()
        return age is not None and age < FRESH_SECONDS

    def wake(self) -> None:
        """Let calls that wait for their budget look again."""
        self.changed.set()
        self.changed.clear()

    def short(self, team: str, amount: int) -> Short:
        """Return why ``amount`` cannot be set aside."""
        allotment = self.allotments.get(team)
        if allotment is None:
            return Short(False, None, self.age())
        is_spent = self.is_fresh() and allotment.unspent < amount
        return Short(is_spent, allotment.pool, self.age())

    def open_reserve(self) -> None:
        """Ask the witnesses to let the reserve be spent."""
        for record in self._possible_records():
            if not self._is_opened(record):
                self.witnesses.open(self.holder, record)

    async def run(self) -> None:
        """Keep the marks for ever."""
        while True:
            await self.commit()
            await self._pause()

    def is_stalled(self) -> bool:
        """Tell whether the log is out of reach, or takes long to answer."""
        if self.lost_at is not None:
            return True
        waited = 0.0 if self.called_at is None else self.clock() - self.called_at
        return waited > STALLED_SECONDS

    async def commit(self) -> bool:
        """Read the log, append what should change; return whether that worked."""
        async with self.committing:
            self.called_at = self.clock()
            try:
                return await self._commit()
            finally:
                self.called_at = None

    async def _commit(self) -> bool:
        for attempt in count(1):
            if (attempt > 1 or not self._knows_end()) and not await self._read():
                return False
            pending = self.pending or self._next_append()
            if pending is None:
                return True
            outcome = await self._append(pending)
            if not isinstance(outcome, Conflict):
                return isinstance(outcome, Appended)
            await sleep(CONFLICT_PAUSE * attempt * random())
        return False

    def _knows_end(self) -> bool:
        """Tell whether this home was the last to write, a moment ago."""
        age = self.age()
        is_recent = age is not None and age < REWRITE_SECONDS
        return self.is_home() and is_recent and self.pending is None

    async def _append(self, pending: Pending) -> Appended | Conflict | StoreFailure:
        """Append at the end that was read, and take what came of it."""
        self.pending = pending
        self._refresh_limits()
        sent_at = self.clock()
        outcome = await self.log.append(pending.records, pending.at)
        taken = self.clock() - sent_at
        self.append_seconds += (taken - self.append_seconds) * APPEND_WEIGHT
        match outcome:
            case Appended():
                self.written_at = self.clock()
                numbered = enumerate(pending.records, pending.at)
                own = tuple(KeyedRecord(at, *record) for at, record in numbered)
                self._take(Page(own, outcome.end_offset, True))
            case StoreFailure():
                self._lose(outcome)
        return outcome

    async def _pause(self) -> None:
        self.urgent.clear()
        pause = COMMIT_SECONDS if self.is_home() else GUEST_SECONDS
        if self.lost_at is not None:
            pause = FAILURE_PAUSE
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
        self.book = self.book._replace(end=max(self.book.end, page.next_offset))
        if self.pending is not None and self.pending.at < self.book.end:
            self.pending = None
        self._refresh_limits()
        for team in self.prepaid:
            self.allotments[team] = self._allot(team, now)
        self.wake()

    def _put(self, record: KeyedRecord, now: float) -> None:
        team, _, holder = record.key.rpartition(SEPARATOR)
        try:
            if team:
                mark = decode(record.value, type=Mark) if record.value else None
                put_mark(self.book, MarkKey(team, holder), mark, record.offset)
            else:
                head = decode(record.value, type=HolderRecord) if record.value else None
                put_holder(self.book, holder, head, record.offset)
                self.heard[holder] = now
        except (DecodeError, ValidationError) as error:
            log_decision("mark refused", key=record.key, problem=str(error))

    # What may be spent.

    def _possible_records(self) -> tuple[HolderRecord, ...]:
        """Return the holder's records that may be the newest in the log."""
        confirmed = self.book.holders.get(self.holder, NO_RECORD)
        return (
            (confirmed,) if self.pending is None else (confirmed, self.pending.record)
        )

    def _is_opened(self, record: HolderRecord) -> bool:
        return is_opened(record, self.witnesses.of(self.holder))

    def _limit(self, team: str) -> int:
        """Return what may be spent whichever of the records is in the log."""
        mark = self.book.teams.get(team, {}).get(self.holder, NO_MARK)
        record = self.book.holders.get(self.holder, NO_RECORD)
        limit = mark.ceiling if self._is_opened(record) else mark.unwitnessed
        if self.pending is None:
            return limit
        mark = self.pending.marks.get(team, mark)
        is_open = self._is_opened(self.pending.record)
        return min(limit, mark.ceiling if is_open else mark.unwitnessed)

    def _refresh_limits(self) -> None:
        for team, account in self.accounts.items():
            account.limit = self._limit(team)

    def _on_attestation(self, holder: str) -> None:
        if holder != self.holder:
            return
        self._refresh_limits()
        self.wake()

    # What should be written.

    def _live(self, now: float) -> frozenset[str]:
        return frozenset(
            name
            for name, at in self.heard.items()
            if now - at < LIVE_SECONDS and not self.is_succeeded(name)
        )

    def _allot(self, team: str, now: float) -> Allotment:
        rest = others(self.book, team, self.holder)
        account = self.account(team)
        return allot(
            account,
            self._known(team),
            rest,
            self._live(now),
            self.prepaid[team],
            self.is_home(),
            self.append_seconds,
            now,
        )

    def _next_append(self) -> Pending | None:
        """Return the records that should change, none if all are as they should be.

        All are written again when nothing was for a while, so that the other
        holders see that this one lives.
        """
        now = self.clock()
        known = self.book.holders.get(self.holder, NO_RECORD)
        chosen = known.witnesses
        if self.is_home():
            chosen = self.witnesses.choose(known.witnesses)
        is_due = self.is_home() and (
            self.written_at is None or now - self.written_at > REWRITE_SECONDS
        )
        marks = {
            team: mark
            for team in self.prepaid
            if _differs(mark := self._wanted(team, now), self._known(team))
        }
        reclaimed = self._reclaimed(now)
        if not (marks or reclaimed or is_due or chosen != known.witnesses):
            return None
        self.epoch = max(self.epoch, known.epoch) + 1
        record = HolderRecord(self.epoch, chosen)
        records = (
            (SEPARATOR + self.holder, encode(record)),
            *((team + SEPARATOR + self.holder, encode(marks[team])) for team in marks),
            *reclaimed,
        )
        return Pending(self.book.end, record, marks, records)

    def _known(self, team: str) -> Mark:
        return self.book.teams.get(team, {}).get(self.holder, NO_MARK)

    def _wanted(self, team: str, now: float) -> Mark:
        account = self.account(team)
        allotment = self._allot(team, now)
        ceiling, unwitnessed = allotment.ceiling, allotment.unwitnessed
        if self.is_closing:
            ceiling = unwitnessed = account.used
        return Mark(ceiling, unwitnessed, account.spent, int(account.rate(now)))

    def _reclaimed(self, now: float) -> tuple[tuple[str, bytes], ...]:
        """Return the marks of dead holders, without reserves proved unspent."""
        records: list[tuple[str, bytes]] = []
        live = self._live(now)
        for holder, head in self.book.holders.items():
            if holder == self.holder or holder in live:
                continue
            marks = reclaimable(self.book, holder)
            if not marks:
                continue
            if not is_unopened(head, self.witnesses.of(holder)):
                self.witnesses.fence(holder, head)
                continue
            log_decision("reserve reclaimed", holder=holder, teams=len(marks))
            records.extend(
                (team + SEPARATOR + holder, encode(mark))
                for team, mark in marks.items()
            )
        return tuple(records)

    def _lose(self, failure: StoreFailure) -> None:
        if self.lost_at is None:
            self.lost_at = self.clock()
            log_dependency("marks", is_lost=True, problem=failure.message)


def _differs(mark: Mark, known: Mark) -> bool:
    """Tell whether a change is worth a record: more, much less, or settled."""
    step = max(1, (known.unwitnessed - known.spent) // 8)
    return (
        abs(mark.ceiling - known.ceiling) >= max(step, known.ceiling - known.spent >> 4)
        or abs(mark.unwitnessed - known.unwitnessed) >= step
        or abs(mark.spent - known.spent) >= step
    )
