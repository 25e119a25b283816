"""The product's way to keep budgets, and its baseline of fixed-size grants.

Both run the product's own replay and holder code in virtual time.
"""

from collections import defaultdict
from functools import singledispatch
from typing import Any, NamedTuple, cast

from clementinebend_bench.models.demand import Spending, entries
from clementinebend_bench.models.spending_world import World
from clementinebend_bench.models.virtual_log import News, VirtualLog
from clementinebend_ledger.giving import add_grant
from clementinebend_ledger.holder import (
    HolderState,
    Reserved,
    budget_seen,
    cancel,
    empty_holder,
    on_outcome,
    plan,
    reserve,
    settle,
    wait_hint,
)
from clementinebend_ledger.outcomes import GrantRefused
from clementinebend_records.identifiers import Incarnation, RequestKey, RunId
from clementinebend_records.records import (
    CloseAck,
    GrantRequest,
    GrantReturn,
    HolderClose,
    Record,
    Scope,
    Settle,
    TopUp,
)

PATIENCE_SECONDS = 2.0
"""How long a caller on the line waits for its request to be admitted."""

TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 0.5
COMMIT_SECONDS = 0.5
"""Least time between batches of an entry at which no request waits."""

FAILURE_DETECTION_SECONDS = 5.0
LONGEST_RUN_SECONDS = 20.0
"""After this the sidecar has no run of a closed holder and acknowledges."""

REFUSALS_BEFORE_GIVING_UP = 3
SIDECAR = Incarnation("sidecar#0")

FIXED_GRANT = 20_000
"""Tokens of the fixed-size baseline's grants, about 30 reservations."""


class Waiting(NamedTuple):
    """A request that waits for a grant until ``deadline``."""

    row: Spending
    deadline: float


def run_id(row: Spending) -> RunId:
    """Return the run of a request: each runs once here."""
    return RunId(str(row.number))


class GrantEntry:
    """One entry: a holder, its requests that wait, and one batch in flight."""

    def __init__(self, name: str, incarnation: Incarnation, fixed: bool) -> None:
        self.name = name
        self.holder: HolderState = empty_holder(incarnation)
        self.fixed = fixed
        self.waiting: dict[int, Waiting] = {}
        self.refusals: dict[str, int] = defaultdict(int)
        self.posted_at: float | None = None
        self.read_at = 0.0
        self.log_delay = 0.1
        self.is_alive = True
        self.is_paused = False


class GrantArm:
    """The product: grants by replay, sized by ``plan`` or of a fixed size."""

    def __init__(self, world: World, log: VirtualLog, fixed: bool = False) -> None:
        self.world = world
        self.log = log
        self.fixed = fixed
        self.lives = 0
        self.entries: dict[str, GrantEntry] = {}
        self.orphans: dict[str, list[Spending]] = defaultdict(list)
        for name in entries():
            self.start(name, 0.0)

    def start(self, name: str, now: float) -> None:
        """Start an entry, or its replacement, as a new incarnation."""
        self.lives += 1
        entry = GrantEntry(name, Incarnation(f"{name}#{self.lives}"), self.fixed)
        self.entries[name] = entry
        self.log.readers[entry.holder.incarnation] = lambda news, time: self.read(
            entry, news, time
        )
        self.log.append(name, (Scope(entry.holder.incarnation, (SIDECAR,)),), now)
        self.world.at(now + TICK_SECONDS, lambda time: self.tick(entry, time))

    def kill(self, name: str, now: float) -> None:
        """End an entry at once; a peer closes its holder after a while."""
        entry = self.entries.pop(name)
        entry.is_alive = False
        self.give_up_all(entry)
        incarnation = entry.holder.incarnation
        del self.log.readers[incarnation]
        detected = now + FAILURE_DETECTION_SECONDS
        self.world.at(detected, lambda time: self.close(incarnation, time))

    def pause(self, name: str, now: float) -> None:
        """Stop an entry as SIGSTOP does; it is believed dead and closed."""
        entry = self.entries.pop(name)
        entry.is_paused = True
        self.give_up_all(entry)
        incarnation = entry.holder.incarnation
        detected = now + FAILURE_DETECTION_SECONDS
        self.world.at(detected, lambda time: self.close(incarnation, time))

    def wake(self, name: str, now: float) -> None:
        """Wake a paused entry: it learns of its close and starts a new life."""
        self.start(name, now)

    def close(self, incarnation: Incarnation, now: float) -> None:
        """Close a holder; its sidecar's receipts are billed with the ack."""
        closer = next(iter(self.entries))
        record = HolderClose(incarnation, self.entries[closer].holder.incarnation)
        self.log.append(closer, (record,), now)
        ack = CloseAck(incarnation, SIDECAR)
        acked = now + LONGEST_RUN_SECONDS
        self.world.at(acked, lambda time: self.log.append(closer, (ack,), time))

    def give_up_all(self, entry: GrantEntry) -> None:
        """Refuse what waits at an entry that is gone."""
        for waiting in entry.waiting.values():
            self.world.refuse(waiting.row)
        entry.waiting.clear()

    def request(self, row: Spending, now: float) -> None:
        """Reserve at the entry that the balancer picks."""
        name = row.entry if row.entry in self.entries else self.neighbour(row)
        entry = self.entries[name]
        waiting = Waiting(row, now + PATIENCE_SECONDS)
        if not self.try_admit(entry, waiting, now):
            entry.waiting[row.number] = waiting
            self.advance(entry, now)

    def neighbour(self, row: Spending) -> str:
        """Return the entry that takes over for one that is down."""
        names = tuple(self.entries)
        return names[row.number % len(names)]

    def try_admit(self, entry: GrantEntry, waiting: Waiting, now: float) -> bool:
        """Admit a request if one of the entry's grants has room."""
        row = waiting.row
        entry.holder, answer = reserve(
            entry.holder, row.budget, run_id(row), row.bound, now
        )
        if not isinstance(answer, Reserved):
            return False
        self.world.admit(row, Running(self, entry), now)
        return True

    def tick(self, entry: GrantEntry, now: float) -> None:
        """Let time pass: expire, retry, append what is due."""
        if not entry.is_alive or entry.is_paused:
            return
        self.advance(entry, now)
        pause = TICK_SECONDS if entry.waiting else IDLE_TICK_SECONDS
        self.world.at(now + pause, lambda time: self.tick(entry, time))

    def advance(self, entry: GrantEntry, now: float) -> None:
        """Admit, refuse or keep each request that waits; then append."""
        for number, waiting in tuple(entry.waiting.items()):
            if self.try_admit(entry, waiting, now):
                del entry.waiting[number]
            elif self.is_hopeless(entry, waiting, now):
                del entry.waiting[number]
                entry.holder = cancel(entry.holder, run_id(waiting.row))
                self.world.refuse(waiting.row)
        self.append(entry, now)

    def is_hopeless(self, entry: GrantEntry, waiting: Waiting, now: float) -> bool:
        """Return whether to refuse now: no time left, or refused too often."""
        row = waiting.row
        if now >= waiting.deadline:
            return True
        if entry.refusals[row.budget] < REFUSALS_BEFORE_GIVING_UP:
            return False
        hint = wait_hint(entry.holder, row.budget, row.bound, now)
        return not hint.worth_waiting

    def append(self, entry: GrantEntry, now: float) -> None:
        """Append what the holder plans, one batch at a time."""
        interval = 0.0 if entry.waiting else COMMIT_SECONDS
        if entry.posted_at is not None or now < entry.read_at + interval:
            return
        entry.holder, planned = plan(entry.holder, now, entry.log_delay)
        records = tuple(record for rows in planned.values() for record in rows)
        if entry.fixed:
            records = fix_sizes(entry.holder, records)
        if not records:
            return
        entry.posted_at = now
        incarnation = entry.holder.incarnation
        marker = Scope(incarnation)
        self.log.append(entry.name, (*records, marker), now)

    def read(self, entry: GrantEntry, news: News, now: float) -> None:
        """Learn from replay."""
        if not entry.is_alive or entry.is_paused:
            return
        for outcome in news.outcomes:
            entry.holder = on_outcome(entry.holder, outcome, now)
            mine = getattr(outcome, "holder", "") == entry.holder.incarnation
            if mine:
                self.note_own(entry, outcome, now)
        for budget, summary in news.summaries.items():
            if budget in entry.holder.budgets:
                entry.holder = budget_seen(entry.holder, budget, summary)
        self.advance(entry, now)

    def note_own(self, entry: GrantEntry, outcome: object, now: float) -> None:
        """Count refusals, and time the batch in flight."""
        if isinstance(outcome, GrantRefused):
            entry.refusals[outcome.budget] += 1
        elif hasattr(outcome, "grant"):
            entry.refusals[getattr(outcome, "budget", "")] = 0
        if type(outcome).__name__ == "ScopeWidened" and entry.posted_at is not None:
            entry.log_delay = now - entry.posted_at
            entry.posted_at = None
            entry.read_at = now

    def topped_up(self, budget: str, amount: int, now: float) -> None:
        """Append the top-up."""
        record = TopUp(budget, f"{budget}/{now}", amount, "operator")
        self.log.append("operator", (record,), now)


class Running(NamedTuple):
    """A run's end: the entry that started it settles it, or its sidecar does."""

    arm: GrantArm
    entry: GrantEntry

    def finished(self, row: Spending, now: float) -> None:
        """Settle at the entry, or by the sidecar's receipt if it is gone."""
        entry = self.entry
        key = RequestKey(str(row.number))
        entry.holder, bill = settle(entry.holder, run_id(row), key, row.cost, now=now)
        if bill is None:
            return
        if entry.is_alive and not entry.is_paused:
            self.arm.advance(entry, now)
        else:
            self.arm.log.append("sidecar", (Settle(row.budget, (bill,)),), now)


def fix_sizes(holder: HolderState, records: tuple[Record, ...]) -> tuple[Record, ...]:
    """Ask for grants of one size and give nothing back."""
    fixed = (fix_size(record, holder) for record in records)
    return tuple(record for record in fixed if record is not None)


@singledispatch
def fix_size(record: Any, holder: HolderState) -> Record | None:
    """Return the record as the fixed-size baseline appends it, if it does."""
    return cast(Record, record)


@fix_size.register
def _(record: GrantRequest, holder: HolderState) -> Record | None:
    use = holder.budgets[record.budget]
    enough = use["spare"] < 0 or use["spare"] >= FIXED_GRANT
    amount = FIXED_GRANT if enough else record.amount
    use["requested"][record.grant] = amount
    return record._replace(amount=amount)


@fix_size.register
def _(record: GrantReturn, holder: HolderState) -> Record | None:
    own = holder.budgets[record.budget]["grants"].get(record.grant)
    if own is None:
        add_grant(holder, record.budget, record.grant, record.amount, False)
    else:
        own["free"] += record.amount
    return None
