"""Fakes for fuzzing the ledger: a log, sidecars and the network.

The log applies an append at once, later, never, or without an answer to its writer.
It has outages, and trims the batches that a checkpoint covers.
"""

from typing import NamedTuple

from clementinebend_ledger.replay import restore_ledger
from clementinebend_records.identifiers import Incarnation, RequestKey, RunId
from clementinebend_records.messages import Receipt, Ticket, TransferReply
from clementinebend_records.records import Batch, Checkpoint
from tests.unit.ledger.fuzz_oracle import Execution, Oracle


class Start(NamedTuple):
    """The message that asks a sidecar to execute a run."""

    run: RunId
    key: RequestKey
    ticket: Ticket


class FakeLog:
    """One stream, and the appends that have not arrived yet."""

    def __init__(self, oracle: Oracle) -> None:
        self.oracle = oracle
        self.batches: list[Batch] = []
        self.oldest = 0
        self.delayed_appends: list[Batch] = []
        self.outage = False

    def append(self, batch: Batch) -> None:
        """Apply an append."""
        self.oracle.on_append(len(self.batches), batch)
        self.batches.append(batch)

    def trim(self) -> None:
        """Trim the batches that the newest checkpoint covers."""
        found = self._newest_checkpoint()
        if found is not None:
            position, checkpoint = found
            self.oldest = max(self.oldest, min(position, checkpoint.offset + 1))

    def checkpoint(self) -> Checkpoint:
        """Return the newest checkpoint, after a check of its digest and offset."""
        found = self._newest_checkpoint()
        assert found is not None
        checkpoint = found[1]
        assert checkpoint.digest == self.oracle.digests[checkpoint.offset]
        assert restore_ledger(checkpoint).offset == checkpoint.offset
        return checkpoint

    def _newest_checkpoint(self) -> tuple[int, Checkpoint] | None:
        for position in range(len(self.batches) - 1, self.oldest - 1, -1):
            for record in self.batches[position].records:
                usable = isinstance(record, Checkpoint)
                if usable and record.offset + 1 >= self.oldest:  # type: ignore[union-attr]
                    return position, record  # type: ignore[return-value]
        return None


class FakeSidecar:
    """One incarnation of a sidecar, which admits runs and keeps their receipts."""

    def __init__(self, incarnation: Incarnation, oracle: Oracle) -> None:
        self.incarnation = incarnation
        self.oracle = oracle
        self.alive = True
        self.closed: set[Incarnation] = set()
        self.running: dict[RunId, Start] = {}
        self.finished: dict[RunId, Receipt] = {}
        self.logged: set[RunId] = set()

    def start(self, start: Start) -> bool:
        """Start a run once; refuse closed holders and other incarnations."""
        if start.run in self.running or start.run in self.finished:
            return True
        ticket = start.ticket
        if ticket.sidecar != self.incarnation or ticket.holder in self.closed:
            return False
        self.running[start.run] = start
        return True

    def finish(self, run: RunId) -> None:
        """Finish a run, which then has spent its cost."""
        start = self.running.pop(run)
        ticket = start.ticket
        cost = self.oracle.requests[start.key].cost
        self.finished[run] = Receipt(
            start.key,
            run,
            ticket.budget,
            ticket.grant,
            ticket.holder,
            self.incarnation,
            cost,
            True,
        )
        self.oracle.executions[run] = Execution(start.key, ticket.grant)

    def kill(self) -> None:
        """Crash and lose all memory; runs in progress count as executed."""
        for start in self.running.values():
            execution = Execution(start.key, start.ticket.grant)
            self.oracle.executions[start.run] = execution
        self.alive = False
        self.oracle.sidecars_lost += 1

    def close(self, holder: Incarnation) -> tuple[Receipt, ...] | None:
        """Reject a holder from now on.

        Return its receipts that are not logged, or None while it has runs.
        """
        self.closed.add(holder)
        if any(start.ticket.holder == holder for start in self.running.values()):
            return None
        receipts = self.finished.values()
        of_holder = (receipt for receipt in receipts if receipt.holder == holder)
        return tuple(item for item in of_holder if item.run not in self.logged)


class Network(NamedTuple):
    """Messages that were sent; each may arrive late, twice or never."""

    starts: list[Start]
    transfers: list[TransferReply]
