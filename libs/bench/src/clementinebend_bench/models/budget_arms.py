"""The product's way to keep budgets, and its baseline of fixed-size grants.

Both run the product's own replay and holder code in virtual time.
"""

from typing import NamedTuple

from clementinebend_bench.models.demand import Spending, entries, zone_of
from clementinebend_bench.models.fixed_grants import plan_fixed
from clementinebend_bench.models.spending_world import World
from clementinebend_bench.models.virtual_log import News, VirtualLog
from clementinebend_ledger.holder import (
    HolderState,
    Reserved,
    cancel,
    empty_holder,
    observe_budget,
    on_outcome,
    plan,
    reserve,
    settle,
)
from clementinebend_ledger.holder_state import free_tokens
from clementinebend_ledger.holder_transfers import receive_transfer, send_transfer
from clementinebend_ledger.outcomes import ScopeWidened
from clementinebend_ledger.replay import BudgetSummary
from clementinebend_records.identifiers import GrantId, Incarnation, RequestKey, RunId
from clementinebend_records.records import (
    CloseAck,
    HolderClose,
    Scope,
    Settle,
    TopUp,
)

PATIENCE_SECONDS = 2.0
"""How long a caller on the line waits for its request to be admitted."""

LOG_FAILING_SECONDS = 0.3
"""How long a batch may be unread before peers are asked for parts."""

TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 0.5
COMMIT_SECONDS = 0.5
"""Least time between batches of an entry at which no request waits."""

FAILURE_DETECTION_SECONDS = 5.0
LONGEST_RUN_SECONDS = 20.0
"""After this the sidecar has no run of a closed holder and acknowledges."""

SIDECAR = Incarnation("sidecar#0")


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
        self.seen: dict[str, BudgetSummary] = {}
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
        self.parts = 0
        self.entries: dict[str, GrantEntry] = {}
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
        self.open_scopes(entry, now)
        self.world.at(now + TICK_SECONDS, lambda time: self.tick(entry, time))

    def open_scopes(self, entry: GrantEntry, now: float) -> None:
        """Make the new holder and its peers witnesses of each other."""
        mine = entry.holder.incarnation
        peers = [each for each in self.entries.values() if each is not entry]
        names = tuple(peer.holder.incarnation for peer in peers)
        self.log.append(entry.name, (Scope(mine, (SIDECAR,), names),), now)
        for peer in peers:
            record = Scope(peer.holder.incarnation, (), (mine,))
            self.log.append(peer.name, (record,), now)

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
        acked = now + LONGEST_RUN_SECONDS
        self.world.at(acked, lambda time: self.acknowledge(closer, incarnation, time))

    def acknowledge(self, closer: str, incarnation: Incarnation, now: float) -> None:
        """Append the acks of all witnesses; their receipts are billed by now."""
        entry = self.log.state.holders.get(incarnation)
        if entry is not None:
            names = (*entry["sidecars"], *entry["peers"])
            acks = tuple(CloseAck(incarnation, witness) for witness in names)
            self.log.append(closer, acks, now)

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
        if entry.waiting and not entry.fixed:
            self.borrow(entry, now)
        self.append(entry, now)

    def borrow(self, entry: GrantEntry, now: float) -> None:
        """Ask peers on this side for parts of grants while the log is out."""
        posted = now if entry.posted_at is None else entry.posted_at
        if now - posted < LOG_FAILING_SECONDS:
            return
        for waiting in tuple(entry.waiting.values()):
            for peer in self.peers_in_reach(entry, now):
                if self.take_part(entry, peer, waiting.row):
                    break
            if self.try_admit(entry, waiting, now):
                del entry.waiting[waiting.row.number]

    def peers_in_reach(self, entry: GrantEntry, now: float) -> list[GrantEntry]:
        """Return the entries on this side of a cut, own zone first."""
        mine = self.log.is_cut(entry.name, now)
        peers = [
            peer
            for name, peer in self.entries.items()
            if peer is not entry and self.log.is_cut(name, now) == mine
        ]
        zone = zone_of(entry.name)
        return sorted(peers, key=lambda peer: zone_of(peer.name) != zone)

    def take_part(self, entry: GrantEntry, peer: GrantEntry, row: Spending) -> bool:
        """Move a part that covers the request, if the peer can spare one."""
        use = peer.holder.budgets.get(row.budget)
        if use is None or free_tokens(use) < row.bound:
            return False
        self.parts += 1
        transfer = GrantId(f"part-{self.parts}")
        receiver = entry.holder.incarnation
        peer.holder, part = send_transfer(
            peer.holder, row.budget, transfer, receiver, row.bound
        )
        entry.holder = receive_transfer(entry.holder, part)
        return part.amount >= row.bound

    def is_hopeless(self, entry: GrantEntry, waiting: Waiting, now: float) -> bool:
        """Return whether to refuse now: no time left, or refused too often."""
        row = waiting.row
        if now >= waiting.deadline:
            return True
        summary = entry.seen.get(row.budget)
        if summary is None:
            return False
        spent = summary.billed + summary.held + summary.shortfall
        return row.bound > summary.topped_up - spent

    def append(self, entry: GrantEntry, now: float) -> None:
        """Append what the holder plans, one batch at a time."""
        interval = 0.0 if entry.waiting else COMMIT_SECONDS
        if entry.posted_at is not None or now < entry.read_at + interval:
            return
        planner = plan_fixed if entry.fixed else plan
        entry.holder, planned = planner(entry.holder, now, entry.log_delay)
        records = tuple(record for rows in planned.values() for record in rows)
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
        entry.seen.update(news.summaries)
        for budget, summary in news.summaries.items():
            if budget in entry.holder.budgets:
                entry.holder = observe_budget(entry.holder, budget, summary, now)
        self.advance(entry, now)

    def note_own(self, entry: GrantEntry, outcome: object, now: float) -> None:
        """Time the batch in flight."""
        if isinstance(outcome, ScopeWidened) and entry.posted_at is not None:
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
