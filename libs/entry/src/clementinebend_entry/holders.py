"""The holders of one entry: the one in use, earlier ones, and the next.

An earlier holder still bills what runs under it. Once nothing of it is left
it vouches for that itself (a clean close), so its remainder is free at once.

A sidecar that restarts takes its memory along, so it could never acknowledge
the close of a holder that has its old incarnation in scope; should this entry
die, the remainder would stay held until an operator resolves it. So the entry
prepares another holder with the present witnesses, and goes over to it when
its scope is read back. Until then the old one serves.
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
    name_of,
    new_incarnation,
)
from clementinebend_records.records import GrantReturn, Record


class Holders:
    """Owns the holder states; ``current`` is the one in use."""

    def __init__(self, name: str, incarnation: Incarnation) -> None:
        self.name = name
        self.current: HolderState = empty_holder(incarnation)
        self.retired: list[HolderState] = []
        self.successor: HolderState | None = None
        self.ended: set[Incarnation] = set()

    def all(self) -> tuple[HolderState, ...]:
        """Return all holders that may still have something to log."""
        prepared = () if self.successor is None else (self.successor,)
        return (self.current, *self.retired, *prepared)

    def incarnations(self) -> frozenset[Incarnation]:
        """Return the incarnations of all of them, and of those that ended."""
        return frozenset(holder.incarnation for holder in self.all()) | self.ended

    @property
    def is_settled(self) -> bool:
        """Whether nothing is reserved and all bills were read back."""
        return not any(holder.runs or holder.bills for holder in self.all())

    def find(self, run: RunId) -> HolderState | None:
        """Return the holder under which a run is reserved."""
        return next((holder for holder in self.all() if run in holder.runs), None)

    def apply_outcome(self, outcome: LedgerOutcome, now: float, stream: str) -> None:
        """Hand an outcome of replay to all of them."""
        self.current = on_outcome(self.current, outcome, now, stream)
        self.retired = [
            on_outcome(holder, outcome, now, stream) for holder in self.retired
        ]
        if self.successor is not None:
            self.successor = on_outcome(self.successor, outcome, now, stream)

    def resume(self, state: LedgerState, stream: str) -> None:
        """Go on from a restored state of a shard."""
        self.current = resume(self.current, state, stream)
        self.retired = [resume(holder, state, stream) for holder in self.retired]
        if self.successor is not None:
            self.successor = resume(self.successor, state, stream)

    def cancel(self, run: RunId) -> None:
        """Free the reservation of a run that is proved not run."""
        self.current = cancel(self.current, run)
        self.retired = [cancel(holder, run) for holder in self.retired]

    def prepare_successor(self) -> None:
        """Begin another holder, to go over to later."""
        self.successor = empty_holder(new_incarnation(self.name))

    def switch_to_successor(self) -> dict[str, tuple[Record, ...]]:
        """Use the next holder; return what gives tokens back, by budget."""
        old = self.current
        records = {} if old.closed else return_free_tokens(old)
        self.retired.append(old._replace(closed=True))
        self.current = self.successor or empty_holder(new_incarnation(self.name))
        self.successor = None
        return records

    def pop_spent(self) -> tuple[HolderState, ...]:
        """Take out the earlier holders of which nothing is left to log."""
        spent = tuple(holder for holder in self.retired if is_spent(holder))
        self.retired = [holder for holder in self.retired if not is_spent(holder)]
        self.ended.update(holder.incarnation for holder in spent)
        return spent

    def has_replaced_sidecar(self, seen: WitnessesSeen, streams: Iterable[str]) -> bool:
        """Return whether a sidecar in scope has been replaced."""
        current = {name_of(sidecar): sidecar for sidecar in seen.sidecars}
        scoped = {
            witness
            for stream in streams
            for witness in self.current.witnesses.get(stream, {})
        }
        return any(current.get(name_of(each), each) != each for each in scoped)

    def is_successor_ready(self, seen: WitnessesSeen, streams: Iterable[str]) -> bool:
        """Return whether the next holder may use all witnesses in reach."""
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
    """Return, by budget, what gives back all that is free; it is used no more."""
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
