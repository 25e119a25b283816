"""The holders of one entry: the current one, retired ones, and the successor.

A retired holder still bills the runs reserved under it. Once it has nothing left
to log, the entry closes it cleanly, so its remainder becomes free at once.

A sidecar loses its memory when it restarts, so it can never acknowledge the close
of a holder that has its old incarnation in scope. If this entry then died, the
remainder would stay held until an operator resolved it. The entry therefore
prepares a successor with the current witnesses, and switches to it when the
successor's scope has been replayed. The old holder serves until then.
"""

from collections.abc import Iterable

from clementinebend_entry.ledger_events import WitnessesSeen
from clementinebend_ledger.holder import (
    HolderState,
    cancel,
    empty_holder,
    has_witness,
    on_outcome,
    resume,
)
from clementinebend_ledger.holder_state import OwnGrant
from clementinebend_ledger.outcomes import LedgerOutcome
from clementinebend_ledger.replay import LedgerState
from clementinebend_records.identifiers import (
    GrantId,
    Incarnation,
    RunId,
    new_incarnation,
    process_name_of,
)
from clementinebend_records.records import GrantReturn, Record


class Holders:
    """Owns the holder states; ``current`` makes new reservations."""

    def __init__(self, name: str, incarnation: Incarnation) -> None:
        self.name = name
        self.current: HolderState = empty_holder(incarnation)
        self.retired: list[HolderState] = []
        self.successor: HolderState | None = None
        self.ended: set[Incarnation] = set()

    def all(self) -> tuple[HolderState, ...]:
        """Return all holders that may still have records to log."""
        prepared = () if self.successor is None else (self.successor,)
        return (self.current, *self.retired, *prepared)

    def incarnations(self) -> frozenset[Incarnation]:
        """Return the incarnations of all holders, including those that ended."""
        return frozenset(holder.incarnation for holder in self.all()) | self.ended

    @property
    def is_settled(self) -> bool:
        """Whether nothing is reserved and replay has confirmed all bills."""
        return not any(holder.runs or holder.bills for holder in self.all())

    def find(self, run: RunId) -> HolderState | None:
        """Return the holder under which a run is reserved."""
        return next((holder for holder in self.all() if run in holder.runs), None)

    def apply_outcome(self, outcome: LedgerOutcome, now: float, stream: str) -> None:
        """Apply a replay outcome to all holders."""
        self.current = on_outcome(self.current, outcome, now, stream)
        self.retired = [
            on_outcome(holder, outcome, now, stream) for holder in self.retired
        ]
        if self.successor is not None:
            self.successor = on_outcome(self.successor, outcome, now, stream)

    def resume(self, state: LedgerState, stream: str) -> None:
        """Resume all holders from the restored state of a shard."""
        self.current = resume(self.current, state, stream)
        self.retired = [resume(holder, state, stream) for holder in self.retired]
        if self.successor is not None:
            self.successor = resume(self.successor, state, stream)

    def cancel(self, run: RunId) -> None:
        """Free the reservation of a run that is known not to have run."""
        self.current = cancel(self.current, run)
        self.retired = [cancel(holder, run) for holder in self.retired]

    def prepare_successor(self) -> None:
        """Create the successor, to switch to later."""
        self.successor = empty_holder(new_incarnation(self.name))

    def switch_to_successor(self) -> dict[str, tuple[Record, ...]]:
        """Switch to the successor; return the old holder's grant returns by budget."""
        old = self.current
        records = {} if old.closed else return_free_tokens(old)
        self.retired.append(old._replace(closed=True))
        self.current = self.successor or empty_holder(new_incarnation(self.name))
        self.successor = None
        return records

    def pop_spent(self) -> tuple[HolderState, ...]:
        """Remove and return the retired holders that have nothing left to log."""
        spent = tuple(holder for holder in self.retired if is_spent(holder))
        self.retired = [holder for holder in self.retired if not is_spent(holder)]
        self.ended.update(holder.incarnation for holder in spent)
        return spent

    def has_replaced_sidecar(self, seen: WitnessesSeen, streams: Iterable[str]) -> bool:
        """Return whether a sidecar in the current scope has a new incarnation."""
        current = {process_name_of(sidecar): sidecar for sidecar in seen.sidecars}
        scoped = {
            witness
            for stream in streams
            for witness in self.current.witnesses.get(stream, {})
        }
        return any(current.get(process_name_of(each), each) != each for each in scoped)

    def is_successor_ready(self, seen: WitnessesSeen, streams: Iterable[str]) -> bool:
        """Return whether the successor may use all reachable witnesses."""
        successor = self.successor
        if successor is None or not seen.sidecars:
            return False
        return all(
            has_witness(successor, stream, witness)
            for stream in streams
            for witness in (*seen.sidecars, *seen.peers)
        )


def is_spent(holder: HolderState) -> bool:
    """Return whether a holder has nothing in flight and nothing to log."""
    return not (holder.runs or holder.bills or holder.transfers)


def return_free_tokens(holder: HolderState) -> dict[str, tuple[Record, ...]]:
    """Return, by budget, the records that return all free tokens.

    The free amounts are set to zero, so the holder can reserve no more.
    """
    return {
        budget: tuple(
            _return_grant(holder, budget, grant, own)
            for grant, own in use["grants"].items()
            if own["free"] > 0
        )
        for budget, use in holder.budgets.items()
    }


def _return_grant(
    holder: HolderState, budget: str, grant: GrantId, own: OwnGrant
) -> GrantReturn:
    free, own["free"] = own["free"], 0
    return GrantReturn(budget, grant, holder.incarnation, free)
