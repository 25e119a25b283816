"""The gate's decisions: who runs, who is refused, who hears what."""

from pytest import mark

from clementinebend_declarations.models import ServiceKind
from clementinebend_records.identifiers import Incarnation, RequestKey, RunId
from clementinebend_records.messages import (
    CloseNotice,
    CloseReply,
    DrainOrder,
    Hello,
    LoadReport,
    Message,
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
from clementinebend_sidecar.gate.effects import Count, Counter, Exit
from clementinebend_sidecar.gate.events import (
    Broken,
    Disconnected,
    DrainAsked,
    HeadArrived,
    PieceArrived,
    Received,
    Refused,
    RunOver,
    Tick,
    Whole,
)
from tests.unit.sidecar.gates import (
    HOLDER,
    LIMITS,
    ME,
    Gate,
    run_start,
    sent,
)

R1, R2, R3 = RunId("r1"), RunId("r2"), RunId("r3")
A1, A2 = RunId("a1"), RunId("a2")


def refusals(messages: list[Message]) -> list[str]:
    return [each.reason for each in messages if isinstance(each, RunRefused)]


def answers(messages: list[Message]) -> list[Message]:
    return [each for each in messages if not isinstance(each, LoadReport)]


def attach(attachment: str, key: str, digest: str = "d") -> RunAttach:
    return RunAttach(RunId(attachment), RequestKey(key), digest)


def heard_so_far(run: RunId) -> list[Message]:
    return [
        RunAccepted(run, R1),
        RunHead(run, 200, "text/plain"),
        RunChunk(run, 0, b"one"),
    ]


def test_a_connection_begins_with_hello_and_a_load_report() -> None:
    gate = Gate()
    hello, report = gate.connect()
    assert hello == Hello("sidecar", "engine-1", ME, "zilina-a", 2, 0)
    assert isinstance(report, LoadReport)
    assert report.slots == LIMITS.slots


def test_an_accepted_run_is_started_and_its_answer_relayed_in_order() -> None:
    gate = Gate()
    assert answers(gate.receive(run_start("r1"))) == [RunAccepted(R1, R1)]
    assert gate.started == ["r1"]
    gate.answer("r1", b"ab", b"c")
    receipt = gate.state.receipts[R1]
    assert receipt.amount == 7
    assert answers(sent(tuple(gate.effects)))[1:] == [
        RunHead(R1, 200, "text/plain"),
        RunChunk(R1, 0, b"ab"),
        RunChunk(R1, 1, b"c"),
        RunEnd(R1, 2, receipt),
    ]


def test_every_reason_to_refuse_at_the_door() -> None:
    gate = Gate()
    old = Incarnation("engine-1#before")
    assert refusals(gate.receive(run_start("r1", sidecar=old))) == [
        NotRunReason.WRONG_INCARNATION
    ]
    assert refusals(gate.receive(run_start("r2", deadline_ms=0))) == [
        NotRunReason.DEADLINE
    ]
    gate.receive(CloseNotice("ledger-0", 5, HOLDER))
    assert refusals(gate.receive(run_start("r3"))) == [NotRunReason.HOLDER_CLOSED]
    assert refusals(gate.receive(attach("a1", "team/none"))) == [
        NotRunReason.UNKNOWN_KEY
    ]
    other = "entry-2#a"
    for run in ("r4", "r5", "r6", "r7"):
        assert not refusals(gate.receive(run_start(run, holder=other)))
    assert refusals(gate.receive(run_start("r8", holder=other))) == [
        NotRunReason.OVERLOADED
    ]
    conflict = run_start("r9", key="team/r4", digest="other", holder=other)
    assert refusals(gate.receive(conflict)) == [NotRunReason.KEY_CONFLICT]
    assert refusals(gate.receive(attach("a2", "team/r4", "other"))) == [
        NotRunReason.KEY_CONFLICT
    ]
    gate.receive(DrainOrder("operator"))
    assert refusals(gate.receive(run_start("r10", holder=other))) == [
        NotRunReason.LEAVING
    ]
    assert gate.started == ["r4", "r5"]
    assert not gate.state.receipts


def test_a_refused_run_never_starts_later_under_the_same_id() -> None:
    gate = Gate()
    for run in ("r1", "r2", "r3", "r4"):
        gate.receive(run_start(run))
    first = gate.receive(run_start("r5"))
    gate.answer("r1")
    gate.answer("r2")
    assert gate.receive(run_start("r5")) == first
    assert "r5" not in gate.started


def test_a_repeated_start_does_not_run_again() -> None:
    gate = Gate()
    gate.receive(run_start("r1"))
    assert gate.receive(run_start("r1")) == []
    gate.answer("r1", b"x")
    again = answers(gate.receive(run_start("r1"), connection=2))
    assert [type(each) for each in again] == [RunAccepted, RunHead, RunChunk, RunEnd]
    gate.receive(ReceiptsLogged((R1,)))
    gate.now += LIMITS.answer_retention_s
    gate.tell(Tick())
    assert R1 not in gate.state.runs
    (late,) = gate.receive(run_start("r1"), connection=2)
    assert isinstance(late, RunFailed)
    assert late.receipt is None
    assert gate.started == ["r1"]


def test_attaching_while_it_runs_gives_the_answer_from_its_start() -> None:
    gate = Gate()
    gate.receive(run_start("r1", key="team/k"))
    gate.tell(HeadArrived(R1, 200, "text/plain"))
    gate.tell(PieceArrived(R1, b"one"))
    replayed = gate.receive(run_start("r2", key="team/k"), connection=2)
    attached = gate.receive(attach("a1", "team/k"), connection=3)
    assert replayed == heard_so_far(R2)
    assert attached == heard_so_far(A1)
    more = gate.tell(PieceArrived(R1, b"two"))
    assert sent(more, 2) == [RunChunk(R2, 1, b"two")]
    ended = gate.tell(RunOver(R1, Whole(7, succeeded=True)))
    (end,) = sent(ended, 3)
    assert isinstance(end, RunEnd)
    assert (end.run, end.chunks, end.receipt.run) == ("a1", 2, "r1")
    assert gate.started == ["r1"]


def test_a_run_goes_on_when_its_entry_dies() -> None:
    gate = Gate()
    gate.connect(1)
    gate.receive(run_start("r1", key="team/k"))
    gate.tell(PieceArrived(R1, b"one"))
    gate.tell(Disconnected(1))
    gate.tell(PieceArrived(R1, b"two"))
    assert gate.stopped == []
    gate.tell(RunOver(R1, Whole(7, succeeded=True)))
    replayed = gate.receive(attach("a1", "team/k"), connection=2)
    chunks = [each.data for each in replayed if isinstance(each, RunChunk)]
    assert chunks == [b"one", b"two"]
    assert gate.state.receipts[R1].amount == 7


def test_a_cancel_stops_a_run_only_if_nobody_else_waits() -> None:
    gate = Gate()
    gate.receive(run_start("r1", key="team/k"))
    gate.receive(attach("a1", "team/k"), connection=2)
    gate.receive(RunCancel(R1))
    assert gate.stopped == []
    gate.receive(RunCancel(A1), connection=2)
    gate.receive(RunCancel(A1), connection=2)
    assert gate.stopped == ["r1"]
    verdict = Broken("the run was cancelled", usage=3, certain=True)
    ended = gate.tell(RunOver(R1, verdict))
    receipt = gate.state.receipts[R1]
    assert (receipt.amount, receipt.succeeded) == (3, False)
    assert answers(sent(ended)) == [RunFailed(R1, "the run was cancelled", receipt)]


def test_a_cancelled_run_in_the_queue_never_runs() -> None:
    gate = Gate()
    for run in ("r1", "r2", "r3"):
        gate.receive(run_start(run))
    assert refusals(gate.receive(RunCancel(R3))) == [NotRunReason.CANCELLED]
    gate.answer("r1")
    assert gate.started == ["r1", "r2"]
    assert list(gate.state.receipts) == ["r1"]


def test_an_endpoint_that_refuses_leaves_no_receipt() -> None:
    gate = Gate()
    gate.receive(run_start("r1"))
    verdict = Refused(NotRunReason.UNREACHABLE, 1000)
    told = answers(sent(gate.tell(RunOver(R1, verdict))))
    assert told == [RunRefused(R1, NotRunReason.UNREACHABLE, 1000)]
    assert not gate.state.receipts
    assert gate.receive(run_start("r1")) == told


@mark.parametrize("usage, amount", [(12, 12), (None, 100), (150, 100)])
def test_a_truncated_answer_is_billed_once_and_never_whole(
    usage: int | None, amount: int
) -> None:
    gate = Gate()
    gate.receive(run_start("r1"))
    gate.tell(PieceArrived(R1, b"part"))
    verdict = Broken("cut off", usage, certain=True)
    (told,) = answers(sent(gate.tell(RunOver(R1, verdict))))
    assert told == RunFailed(R1, "cut off", gate.state.receipts[R1])
    assert gate.state.receipts[R1].amount == amount
    overrun = Count(Counter.OVERRUN) in gate.effects
    assert overrun == (usage == 150)


def test_an_unknown_outcome_is_held_by_the_entry_and_known_to_a_closer() -> None:
    gate = Gate(kind=ServiceKind.PLAIN)
    gate.receive(run_start("r1"))
    verdict = Broken("no answer", usage=None, certain=False)
    (told,) = answers(sent(gate.tell(RunOver(R1, verdict))))
    assert told == RunFailed(R1, "no answer", None)
    (reply,) = gate.receive(CloseNotice("ledger-0", 1, HOLDER), connection=2)
    assert isinstance(reply, CloseReply)
    assert [receipt.amount for receipt in reply.receipts] == [100]


def test_a_close_waits_for_runs_and_hands_over_all_receipts() -> None:
    gate = Gate()
    notice = CloseNotice("ledger-0", 9, HOLDER)
    for run in ("r1", "r2", "r3"):
        gate.receive(run_start(run))
    gate.answer("r1")
    effects = gate.receive(notice, connection=2)
    (reply,) = answers(effects)
    assert isinstance(reply, CloseReply)
    assert (reply.witness, reply.pending) == (ME, 2)
    assert [receipt.run for receipt in reply.receipts] == ["r1"]
    assert gate.stopped == []
    gate.answer("r2")
    gate.answer("r3")
    (reply,) = answers(gate.receive(notice, connection=2))
    assert isinstance(reply, CloseReply)
    assert reply.pending == 0
    assert {receipt.run for receipt in reply.receipts} == {"r1", "r2", "r3"}


def test_a_close_refuses_queued_runs_and_a_paused_holder_for_ever() -> None:
    gate = Gate()
    for run in ("r1", "r2"):
        gate.receive(run_start(run, holder="entry-2#a"))
    gate.receive(run_start("r3"))
    refused = sent(gate.tell(Received(2, CloseNotice("ledger-0", 9, HOLDER))))
    assert refusals(refused) == [NotRunReason.HOLDER_CLOSED]
    gate.answer("r1")
    gate.now += 1e6
    gate.tell(Tick())
    assert refusals(gate.receive(run_start("r4"))) == [NotRunReason.HOLDER_CLOSED]
    assert gate.started == ["r1", "r2"]


def test_queued_runs_start_by_priority_and_only_within_their_deadline() -> None:
    gate = Gate()
    gate.receive(run_start("r1"))
    gate.receive(run_start("r2"))
    gate.receive(run_start("r3", deadline_ms=1000))
    gate.receive(run_start("r4", priority=1))
    gate.answer("r1")
    assert gate.started == ["r1", "r2", "r4"]
    gate.now = 1.0
    late = gate.answer("r2")
    assert refusals(sent(late)) == [NotRunReason.DEADLINE]
    assert gate.started == ["r1", "r2", "r4"]


def test_a_run_past_its_deadline_is_stopped_at_the_endpoint() -> None:
    gate = Gate()
    gate.receive(run_start("r1", deadline_ms=1000))
    gate.now = 1.0
    gate.tell(Tick())
    gate.tell(Tick())
    assert gate.stopped == ["r1"]


def test_a_wait_beyond_the_deadline_is_refused_at_the_door() -> None:
    gate = Gate()
    gate.receive(run_start("r1"))
    gate.now = 5.0
    gate.answer("r1")
    gate.receive(run_start("r2"))
    gate.receive(run_start("r3"))
    assert refusals(gate.receive(run_start("r4", deadline_ms=4000))) == [
        NotRunReason.DEADLINE
    ]
    assert not refusals(gate.receive(run_start("r5", deadline_ms=6000)))


def test_drain_tells_entries_at_once_and_cuts_off_nothing() -> None:
    gate = Gate()
    gate.connect(1)
    for run in ("r1", "r2", "r3"):
        gate.receive(run_start(run))
    (report,) = sent(gate.tell(DrainAsked("signal")))
    assert isinstance(report, LoadReport)
    assert report.leaving
    gate.now = 5.0
    gate.answer("r1")
    gate.now += 2 * LIMITS.drain_timeout_s
    gate.answer("r2")
    assert gate.started == ["r1", "r2", "r3"]
    assert Exit() not in gate.effects
    last = gate.answer("r3", b"whole")
    assert [type(each) for each in answers(sent(last))] == [RunEnd]
    assert Exit() not in gate.effects
    gate.receive(ReceiptsLogged((R1, R2)))
    assert Exit() not in gate.effects
    gate.receive(ReceiptsLogged((R3,)))
    assert Exit() in gate.effects


def test_drain_waits_for_the_log_only_for_a_while() -> None:
    gate = Gate()
    gate.receive(run_start("r1"))
    gate.tell(DrainAsked("signal"))
    gate.now = 50.0
    gate.answer("r1")
    assert Exit() not in gate.effects
    gate.now += LIMITS.drain_timeout_s
    assert Exit() in gate.tell(Tick())


def test_answers_are_evicted_oldest_first_and_receipts_never() -> None:
    gate = Gate()
    for run in ("r1", "r2"):
        gate.receive(run_start(run, key=f"team/{run}", idempotent=False))
        gate.answer(run, b"x" * 600)
    assert gate.state.figures["bytes_kept"] == 600
    told = gate.receive(attach("a1", "team/r1"), connection=2)
    receipt = gate.state.receipts[R1]
    assert told[0] == RunAccepted(A1, R1)
    assert isinstance(told[1], RunFailed)
    assert told[1].receipt == receipt
    again = gate.receive(run_start("r3", key="team/r1", idempotent=False))
    assert isinstance(again[1], RunFailed)
    assert gate.started == ["r1", "r2"]
    whole = gate.receive(attach("a2", "team/r2"), connection=2)
    assert isinstance(whole[-1], RunEnd)


def test_load_reports_are_numbered_and_tell_a_full_endpoint_at_once() -> None:
    gate = Gate()
    gate.connect(1)
    gate.receive(run_start("r1"))
    told = gate.receive(run_start("r2"))
    report = told[-1]
    assert isinstance(report, LoadReport)
    assert (report.running, report.queued) == (2, 0)
    (later,) = sent(gate.tell(Tick()))
    assert isinstance(later, LoadReport)
    assert later.sequence == report.sequence + 1


def test_an_idempotent_request_runs_again_after_its_answer_failed() -> None:
    gate = Gate()
    gate.receive(run_start("r1", key="team/k"))
    gate.tell(RunOver(R1, Broken("cut off", usage=3, certain=True)))
    gate.receive(run_start("r2", key="team/k", idempotent=False))
    assert gate.started == ["r1"]
    gate.receive(run_start("r3", key="team/k", digest="other"))
    assert gate.started == ["r1"]
    gate.receive(run_start("r4", key="team/k"))
    assert gate.started == ["r1", "r4"]
    attached = gate.receive(RunAttach(RunId("a1"), RequestKey("team/k"), "d"))
    assert attached == [RunAccepted(RunId("a1"), RunId("r4"))]
    assert R1 in gate.state.receipts
