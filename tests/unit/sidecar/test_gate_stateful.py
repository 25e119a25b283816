"""Any order of messages, runs and failures, against a small oracle.

The oracle knows only what was sent: it never looks at the gate's state but for
the receipts kept. ``CLEMENTINEBEND_FUZZ=1`` runs longer with fresh seeds.
"""

from collections import defaultdict
from os import environ

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from clementinebend_records.identifiers import Incarnation, RequestKey, RunId
from clementinebend_records.messages import (
    CloseNotice,
    CloseReply,
    ReceiptsLogged,
    RunAccepted,
    RunAttach,
    RunCancel,
    RunChunk,
    RunEnd,
    RunFailed,
    RunHead,
    RunRefused,
)
from clementinebend_records.reasons import NotRunReason
from clementinebend_sidecar.gate.effects import Effect, Exit, Send, StartRun, StopRun
from clementinebend_sidecar.gate.events import (
    Broken,
    Connected,
    Disconnected,
    DrainAsked,
    Event,
    HeadArrived,
    PieceArrived,
    Received,
    Refused,
    RunOver,
    Tick,
    Verdict,
    Whole,
)
from clementinebend_sidecar.gate.state import GateLimits
from tests.unit.sidecar.gates import ME, Gate, run_start

FUZZ = environ.get("CLEMENTINEBEND_FUZZ") == "1"
EXAMPLES = 2000 if FUZZ else 200
STEPS = 60

HOLDERS = ("entry-1#a", "entry-2#a")
BEFORE = Incarnation("engine-1#before")
LIMITS = GateLimits(
    slots=1,
    queue_bound=2,
    answer_retention_s=20.0,
    answer_retention_bytes=12,
    drain_timeout_s=5.0,
)

KEYS = 4
FIRST_OTHER = 6
CONNECTIONS = (1, 2, 3)
connections = st.sampled_from(CONNECTIONS)
run_ids = st.integers(0, 7).map(lambda number: RunId(f"r{number}"))
attachment_ids = st.integers(0, 9).map(lambda number: RunId(f"a{number}"))
pieces = st.binary(min_size=1, max_size=4)
verdicts: st.SearchStrategy[Verdict] = st.one_of(
    st.builds(Whole, st.none() | st.integers(0, 150), st.booleans()),
    st.builds(Broken, st.just("cut off"), st.none() | st.just(5), st.booleans()),
    st.builds(Refused, st.just(NotRunReason.UNREACHABLE), st.just(0)),
)


def key_of(run: RunId) -> RequestKey:
    """Return the key of a request: an id stands for one request for ever."""
    return RequestKey(f"team/{int(run[1:]) % KEYS}")


def digest_of(run: RunId) -> str:
    """Return the body digest of a request; some do not fit their key."""
    return "other" if int(run[1:]) >= FIRST_OTHER else "d"


class Heard:
    """What one connection heard under one run id since it last asked."""

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.ended = False


class GateMachine(RuleBasedStateMachine):
    """Drives the gate as entries and an endpoint would, and checks promises."""

    def __init__(self) -> None:
        super().__init__()
        self.gate = Gate(LIMITS)
        self.open: set[int] = set()
        self.running: dict[RunId, list[bytes]] = {}
        self.answers: dict[RunId, list[bytes]] = {}
        self.holder_by_run: dict[RunId, Incarnation] = {}
        self.started: list[RunId] = []
        self.refused: set[RunId] = set()
        self.charged: set[RunId] = set()
        self.logged: set[RunId] = set()
        self.closed: set[str] = set()
        self.leaving = False
        self.heard: defaultdict[tuple[int, RunId], Heard] = defaultdict(Heard)

    # What happens.

    @initialize()
    def connect_all(self) -> None:
        for connection in CONNECTIONS:
            self.connect(connection)

    @rule(connection=connections)
    def connect(self, connection: int) -> None:
        if connection not in self.open:
            self.open.add(connection)
            self.tell(Connected(connection))

    @rule(connection=connections)
    def disconnect(self, connection: int) -> None:
        if connection in self.open:
            self.open.remove(connection)
            for listener in [each for each in self.heard if each[0] == connection]:
                del self.heard[listener]
            self.tell(Disconnected(connection))

    @rule(
        connection=connections,
        run=run_ids,
        holder=st.sampled_from(HOLDERS),
        sidecar=st.sampled_from((ME, ME, ME, ME, ME, BEFORE)),
        priority=st.integers(0, 1),
        deadline_ms=st.sampled_from((0, 3000, 100_000, 100_000, 100_000)),
        idempotent=st.booleans(),
    )
    def ask_to_run(
        self,
        connection: int,
        run: RunId,
        holder: str,
        sidecar: Incarnation,
        priority: int,
        deadline_ms: int,
        idempotent: bool,
    ) -> None:
        if connection not in self.open:
            return
        start = run_start(
            run,
            key_of(run),
            digest_of(run),
            holder,
            sidecar,
            priority=priority,
            deadline_ms=deadline_ms,
            idempotent=idempotent,
        )
        may_run = sidecar == ME and holder not in self.closed and not self.leaving
        effects = self.tell(Received(connection, start))
        accepted = RunAccepted(run, run)
        was_fresh = run not in self.holder_by_run
        if was_fresh and Send(connection, accepted) in effects:
            assert may_run
            assert deadline_ms
            self.holder_by_run[run] = Incarnation(holder)

    @rule(connection=connections, attachment=attachment_ids)
    def ask_to_attach(self, connection: int, attachment: RunId) -> None:
        if connection in self.open:
            self.tell(
                Received(
                    connection,
                    RunAttach(attachment, key_of(attachment), digest_of(attachment)),
                )
            )

    @rule(connection=connections, run=run_ids | attachment_ids)
    def cancel(self, connection: int, run: RunId) -> None:
        if connection in self.open:
            self.tell(Received(connection, RunCancel(run)))

    @rule(connection=connections, holder=st.sampled_from(HOLDERS))
    def close_holder(self, connection: int, holder: str) -> None:
        if connection not in self.open:
            return
        notice = CloseNotice("ledger-0", 1, Incarnation(holder))
        effects = self.tell(Received(connection, notice))
        self.closed.add(holder)
        sends = [each for each in effects if isinstance(each, Send)]
        (reply,) = (e.message for e in sends if isinstance(e.message, CloseReply))
        under = {run for run, by in self.holder_by_run.items() if by == holder}
        assert reply.pending == len(under & self.running.keys())
        known = {receipt.run for receipt in reply.receipts}
        assert known == (under & self.charged) - self.logged

    @rule(connection=connections, run=run_ids)
    def log_receipt(self, connection: int, run: RunId) -> None:
        if connection in self.open and run in self.charged:
            self.logged.add(run)
            self.tell(Received(connection, ReceiptsLogged((run,))))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), piece=pieces)
    def answer_piece(self, data: st.DataObject, piece: bytes) -> None:
        run = data.draw(st.sampled_from(sorted(self.running)))
        if not self.running[run]:
            self.tell(HeadArrived(run, 200, "text/plain"))
        self.running[run].append(piece)
        self.tell(PieceArrived(run, piece))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), verdict=verdicts)
    def end_run(self, data: st.DataObject, verdict: Verdict) -> None:
        run = data.draw(st.sampled_from(sorted(self.running)))
        if isinstance(verdict, Refused) and self.running[run]:
            return
        self.answers[run] = self.running.pop(run)
        if not isinstance(verdict, Refused):
            self.charged.add(run)
        self.tell(RunOver(run, verdict))

    @rule(seconds=st.sampled_from((0.5, 4.0, 30.0)))
    def wait(self, seconds: float) -> None:
        self.gate.now += seconds
        self.tell(Tick())

    @precondition(lambda self: len(self.started) > 7)
    @rule()
    def drain(self) -> None:
        self.leaving = True
        self.tell(DrainAsked("signal"))

    # What must hold.

    @invariant()
    def executed_runs_have_one_receipt_each(self) -> None:
        receipts = self.gate.state.receipts
        assert set(receipts) == self.charged - self.logged
        assert all(receipt.run == run for run, receipt in receipts.items())
        assert all(0 <= receipt.amount <= 100 for receipt in receipts.values())

    @invariant()
    def never_more_runs_than_slots(self) -> None:
        assert len(self.running) <= LIMITS.slots

    def tell(self, event: Event) -> tuple[Effect, ...]:
        effects = self.gate.tell(event)
        for effect in effects:
            self.check(effect)
        return effects

    def check(self, effect: Effect) -> None:
        match effect:
            case StartRun(start):
                assert start.run not in self.started, "a run executes at most once"
                assert start.run not in self.refused, "a refused run never executes"
                holder = start.ticket.holder
                assert holder not in self.closed, "a closed holder spends nothing"
                self.started.append(start.run)
                self.holder_by_run[start.run] = holder
                self.running[start.run] = []
            case Exit():
                assert self.leaving
                assert not self.running, "a planned stop cuts off nothing"
            case StopRun(run):
                assert run in self.running
            case Send(connection, message):
                assert connection in self.open
                self.hear(connection, message)

    def hear(self, connection: int, message: object) -> None:
        match message:
            case RunRefused(run):
                self.hear_refusal(connection, run)
            case RunAccepted(run):
                self.heard[connection, run] = Heard()
            case RunHead(run):
                assert not self.heard[connection, run].chunks
            case RunChunk(run, sequence, data):
                heard = self.heard[connection, run]
                assert sequence == len(heard.chunks)
                assert not heard.ended
                heard.chunks.append(data)
            case RunEnd(run, chunks, receipt):
                heard = self.heard[connection, run]
                assert not heard.ended
                heard.ended = True
                assert heard.chunks == self.answers[receipt.run]
                assert chunks == len(heard.chunks)
            case RunFailed(run, _, receipt):
                self.heard[connection, run].ended = True
                assert receipt is None or receipt.run in self.charged

    def hear_refusal(self, connection: int, run: RunId) -> None:
        assert run not in self.running, "not run means not running"
        if run.startswith("r"):
            assert run not in self.charged, "not run means not billed"
            self.refused.add(run)
        self.heard[connection, run].ended = True


TestGate = GateMachine.TestCase
TestGate.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=not FUZZ,
    database=None,
    deadline=None,
)
