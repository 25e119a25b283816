"""Steps of the fuzzed fleet: requests, transfers between entries, and shutdown."""

from clementinebend_records.identifiers import GrantId, RequestKey, RunId
from clementinebend_records.records import HoldResolve
from tests.unit.ledger.fuzz_entry import FakeEntry
from tests.unit.ledger.fuzz_fleet import Fleet, pick, statistics
from tests.unit.ledger.fuzz_oracle import Request


class TrafficFleet(Fleet):
    """A fleet that serves requests and transfers tokens."""

    def submit(
        self, at: int, to: int, budget: str, cost: int, slack: int, lost: bool
    ) -> None:
        key = RequestKey(self.name("key"))
        self.oracle.requests[key] = Request(budget, cost)
        self.start_run(key, at, to, slack, lost)

    def serve_requests(
        self,
        at: int,
        to: int,
        budget: str,
        cost: int,
        count: int,
        finished: int,
        ended: int,
    ) -> None:
        """Serve requests at one entry, of which only some are finished and settled."""
        entry = pick(self.serving_entries(), at)
        for index in range(count):
            self.submit(at, to + index, budget, cost, index, False)
        for run in [*entry.in_flight][:finished]:
            sidecar = self.sidecar(entry.in_flight[run].ticket.sidecar)
            if run in sidecar.running and sidecar.alive:
                sidecar.finish(run)
        for run in [*entry.in_flight][:ended]:
            self.send_end(entry, run)

    def transfer_tokens(
        self,
        sender: FakeEntry,
        budget: str,
        receiver: FakeEntry,
        amount: int,
        arrives: bool,
    ) -> bool:
        """Transfer tokens of a grant; return whether the sender had any to transfer."""
        transfer = GrantId(self.name("part"))
        message = sender.send_transfer(budget, transfer, receiver.incarnation, amount)
        if not message.amount:
            return False
        statistics["transferred"] += 1
        self.network.transfers.append(message)
        self.oracle.parent_grants[transfer] = message.grant
        if arrives:
            receiver.receive_transfer(message)
        return True

    def start_run(
        self, key: RequestKey, at: int, to: int, slack: int, lost: bool
    ) -> None:
        entry = pick(self.serving_entries(), at)
        sidecar = pick(self.live_sidecars(), to).incarnation
        budget, cost = self.oracle.requests[key]
        run = RunId(self.name("run"))
        start = entry.submit(run, key, budget, cost + slack, sidecar)
        if start is None:
            self.tick(entry)
            start = entry.submit(run, key, budget, cost + slack, sidecar)
        if start is None:
            statistics["no grant"] += 1
            return
        statistics["reserved"] += 1
        self.network.starts.append(start)
        if not lost:
            self.send_start(entry, start)

    def serve_at(self, entry: FakeEntry, to: int, budget: str) -> None:
        """Serve at one entry, whether or not it has read its own close."""
        if entry in self.serving_entries() and self.live_sidecars():
            at = self.serving_entries().index(entry)
            self.serve_requests(at, to, budget, 3, 4, 3, 2)

    def finish_runs(self, entry: FakeEntry) -> None:
        """Finish the runs of one holder, so that its sidecars acknowledge its close."""
        for sidecar in self.live_sidecars():
            for run, start in list(sidecar.running.items()):
                if start.ticket.holder == entry.incarnation:
                    sidecar.finish(run)

    def transfer_and_use(
        self, sender: FakeEntry, fresh: bool, passing: bool = True
    ) -> None:
        """Transfer tokens from an entry, deliver the message twice and use the tokens.

        A fresh receiver has no other grant, so its runs are paid from the transfer.
        """
        if not passing or sender not in self.serving_entries():
            return
        if fresh:
            self.new_entry()
            self.tick(sender)
        found = [item for item in self.transfer_candidates() if item[0] == sender]
        if not found:
            return
        _, budget, receiver = found[-1]
        if not self.transfer_tokens(sender, budget, receiver, 10, arrives=True):
            return
        self.run_on_transfer(receiver, budget)
        self.run_on_transfer(receiver, budget)
        receiver.receive_transfer(self.network.transfers[-1])
        self.run_on_transfer(receiver, budget)

    def run_on_transfer(self, entry: FakeEntry, budget: str) -> None:
        """Execute a run of an entry that does not read, write or get the receipt."""
        key, run = RequestKey(self.name("key")), RunId(self.name("run"))
        self.oracle.requests[key] = Request(budget, 4)
        sidecars = self.live_sidecars()
        if entry not in self.serving_entries() or not sidecars:
            return
        start = entry.submit(run, key, budget, 4, sidecars[-1].incarnation)
        if start is not None:
            statistics["reserved"] += 1
            self.send_start(entry, start)
        if run in sidecars[-1].running:
            sidecars[-1].finish(run)

    def transfer_candidates(self) -> list[tuple[FakeEntry, str, FakeEntry]]:
        """Return possible transfers as sender, budget and receiver."""
        return [
            (entry, budget, peer)
            for entry in self.active_entries()
            for budget, use in entry.holder.budgets.items()
            if any(own["free"] > 0 for own in use["grants"].values())
            for peer in self.active_entries()
            if peer.incarnation in entry.holder.witnesses.get("", {})
        ]

    def end_faults(self) -> None:
        self.log.outage = False
        for entry in self.entries:
            entry.cut = entry.paused = False
        for batch in self.log.delayed_appends:
            self.log.append(batch)
        for start in self.network.starts:
            sidecar = self.sidecar(start.ticket.sidecar)
            if sidecar.alive and start.run not in self.oracle.refused:
                sidecar.start(start)

    def end_runs(self) -> None:
        for sidecar in self.live_sidecars():
            for run in list(sidecar.running):
                sidecar.finish(run)
        for entry, run in self.in_flight():
            self.send_start(entry, entry.in_flight[run])
        for entry, run in self.in_flight():
            self.send_end(entry, run)

    def tick_all(self) -> None:
        for entry in self.active_entries():
            self.tick(entry)

    def end_holds(self) -> None:
        """Have an operator end all holds without a charge."""
        for budget, entry in self.oracle.state.budgets.items():
            for subject in [*entry["holds"], *entry["unheld"]]:
                self.append_by_operator(HoldResolve(budget, subject, 0, "operator"))

    def close_all(self) -> None:
        self.new_entry()
        closer = self.entries[-1]
        closer.read()
        for entry in self.entries[:-1]:
            closer.close(entry.incarnation)
        self.write_and_read(closer)
        while known := self.closed_and_witness(closer):
            before = len(self.log.batches)
            for holder, witness in known:
                self.notify(closer, holder, witness)
            for entry in self.active_entries():
                self.write_and_read(entry)
            closer.read()
            assert len(self.log.batches) > before
        closer.stop_cleanly()
        self.write_and_read(closer)
