"""Helpers that build ledger streams for tests."""

from collections.abc import Iterable
from typing import Any

from clementinebend_ledger.outcomes import LedgerOutcome
from clementinebend_ledger.replay import LedgerState, empty_ledger, replay
from clementinebend_records.identifiers import (
    GrantId,
    Incarnation,
    RequestKey,
    RunId,
)
from clementinebend_records.records import (
    Batch,
    Bill,
    CloseAck,
    GrantRequest,
    HolderClose,
    Record,
    Scope,
    Settle,
    TopUp,
    Transfer,
)

TEAM = "team"
ALICE = Incarnation("alice#1")
BOB = Incarnation("bob#1")
SIDECAR = Incarnation("sidecar-1#1")
SIDECAR_2 = Incarnation("sidecar-2#1")
OPERATOR = Incarnation("operator#1")


def with_type_names(outcomes: Iterable[tuple[Any, ...]]) -> list[tuple[Any, ...]]:
    """Return outcomes with their type names, which tuple equality ignores."""
    return [(type(outcome).__name__, *outcome) for outcome in outcomes]


class Script:
    """A ledger stream that is replayed as it grows, with its state and all outcomes."""

    def __init__(self, *records: Record) -> None:
        self.state: LedgerState = empty_ledger()
        self.offset = 0
        self.outcomes: list[LedgerOutcome] = []
        self.add(*records)

    def add(self, *records: Record) -> tuple[LedgerOutcome, ...]:
        """Append one batch and return its outcomes."""
        batch = Batch(OPERATOR, self.offset + 1, records)
        self.state, outcomes = replay(self.state, self.offset, batch)
        self.offset += 1
        self.outcomes.extend(outcomes)
        return outcomes


def top_up(amount: int, name: str = "first") -> TopUp:
    return TopUp(TEAM, name, amount, "operator")


def request(amount: int, grant: str = "g", holder: Incarnation = ALICE) -> GrantRequest:
    return GrantRequest(TEAM, holder, GrantId(grant), amount)


def bill(
    amount: int, key: str = "k", grant: str = "g", run: str = "", held: bool = False
) -> Bill:
    name = RunId(run or f"run-{key}")
    return Bill(RequestKey(key), name, GrantId(grant), amount, held)


def settle(*bills: Bill) -> Settle:
    return Settle(TEAM, bills)


def transfer(amount: int, name: str = "t", grant: str = "g") -> Transfer:
    return Transfer(TEAM, GrantId(name), GrantId(grant), ALICE, BOB, amount)


def scope(
    holder: Incarnation,
    sidecars: tuple[Incarnation, ...] = (),
    peers: tuple[Incarnation, ...] = (),
) -> Scope:
    return Scope(holder, sidecars, peers)


def close(holder: Incarnation, clean: bool = False) -> HolderClose:
    return HolderClose(holder, holder if clean else OPERATOR, clean)


def ack(holder: Incarnation, witness: Incarnation, lost: bool = False) -> CloseAck:
    return CloseAck(holder, witness, lost)
