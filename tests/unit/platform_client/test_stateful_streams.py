"""Writer and tail cores of several nodes against a plain list.

The oracle is the log as it was before any trimming, replayed from offset 0.
"""

from os import environ
from typing import NamedTuple

from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import integers, sampled_from

from clementinebend_platform_client.checkpoint_policy import CheckpointPolicy
from clementinebend_platform_client.log_client import LogFailure, ReadPage
from clementinebend_platform_client.tail_core import (
    Phase,
    advance_tail,
    is_ready,
    new_tail,
)
from clementinebend_platform_client.tail_events import (
    Apply,
    CheckpointSettled,
    CheckpointTaken,
    PageRead,
    PostCheckpoint,
    Restore,
    TailEvent,
    TakeCheckpoint,
    TrimmedSeen,
)
from clementinebend_platform_client.writer_core import (
    WriterSettings,
    advance_writer,
    is_idle,
    new_writer,
)
from clementinebend_platform_client.writer_events import (
    Acknowledged,
    Append,
    AppendFailed,
    Posted,
    ReadBack,
    Resolve,
    Restored,
    Ticked,
    WriterEvent,
)
from clementinebend_records.codec import decode_batch
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Batch, Record
from tests.lib.replica import Replica, top_up

STREAM = "ledger-0"
NODES = 3
POLICY = CheckpointPolicy(every=4, stagger=2.0, urgent_stagger=0.5, age=300.0)
HEALING_ROUNDS = 60
HEALING_SECONDS = 7.0
FUZZ = environ.get("CLEMENTINEBEND_FUZZ") == "1"
CHECKPOINT = -1
"""Ticket of the checkpoint that a node has posted."""

SETTINGS = settings(
    max_examples=1500 if FUZZ else 60,
    stateful_step_count=120 if FUZZ else 60,
    derandomize=not FUZZ,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)


class Call(NamedTuple):
    """An append that a node has sent and the log has not executed."""

    node: int
    life: int
    append: Append


class Model:
    """The whole log, and what it still keeps."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.oldest = 0
        self.oracle = Replica(STREAM)
        self.applied_at: list[int] = []

    def append(self, data: bytes) -> int:
        """Append and replay; a trimmed record stays known to the oracle."""
        offset = len(self.records)
        self.records.append(data)
        batch = decode_batch(data)
        assert isinstance(batch, Batch)
        self.oracle.on_batch(offset, batch)
        self.applied_at.append(len(self.oracle.applied))
        return offset

    def expected(self, offset: int) -> list[str]:
        """Return what is applied after ``offset``."""
        return self.oracle.applied[: self.applied_at[offset]] if offset >= 0 else []


class CoreNode:
    """The cores of one process, with their effects carried out in order."""

    def __init__(self, index: int, life: int, model: Model, now: float) -> None:
        self.index = index
        self.life = life
        self.model = model
        self.now = now
        self.incarnation = Incarnation(f"n{index}#{life}")
        self.writer = new_writer(STREAM, self.incarnation, WriterSettings())
        self.tail = new_tail(STREAM, self.incarnation, POLICY, now)
        self.replica = Replica(STREAM)
        self.calls: list[Call] = []
        self.posted: list[str] = []
        self.resolved: set[int] = set()

    def post(self, ticket: int, records: tuple[Record, ...]) -> None:
        self.tell_writer(Posted(ticket, records))

    def tell_writer(self, event: WriterEvent) -> None:
        self.writer, effects = advance_writer(self.writer, event, self.now)
        for effect in effects:
            match effect:
                case Append():
                    self.calls.append(Call(self.index, self.life, effect))
                case Resolve(tickets=tickets, offset=offset):
                    self.resolve(tickets, offset)
                case _:
                    raise AssertionError(effect)

    def resolve(self, tickets: tuple[int, ...], offset: int) -> None:
        known = self.model.expected(offset)
        for ticket in tickets:
            if ticket == CHECKPOINT:
                self.tell_tail(CheckpointSettled())
                continue
            assert ticket not in self.resolved
            assert self.posted[ticket] in known
            self.resolved.add(ticket)

    def tell_tail(self, event: TailEvent) -> None:
        self.tail, effects = advance_tail(self.tail, event, self.now)
        for effect in effects:
            match effect:
                case Apply(offset=offset, batch=batch):
                    self.apply(offset, batch)
                case Restore(checkpoint=checkpoint):
                    self.replica.restore(checkpoint)
                    last = self.replica.sequences.get(self.incarnation, 0)
                    self.tell_writer(Restored(last, checkpoint.offset))
                case TakeCheckpoint(at_boundary=at_boundary):
                    checkpoint = self.replica.checkpoint()
                    self.tell_tail(CheckpointTaken(checkpoint, at_boundary))
                case PostCheckpoint(checkpoint=checkpoint):
                    self.post(CHECKPOINT, (checkpoint,))

    def apply(self, offset: int, batch: Batch) -> None:
        self.replica.on_batch(offset, batch)
        assert self.replica.applied == self.model.expected(offset)
        if batch.writer == self.incarnation:
            self.tell_writer(ReadBack(batch.sequence, offset))

    def read(self, limit: int) -> None:
        start = self.tail.position
        if start < self.model.oldest:
            self.tell_tail(TrimmedSeen(self.model.oldest))
            return
        found = self.model.records[start : start + limit]
        page = ReadPage(
            tuple(enumerate(found, start)), start + len(found), self.model.oldest
        )
        self.tell_tail(PageRead(page, len(found) < limit))

    def can_go_on(self) -> bool:
        """Tell whether this node still has the state that the log trimmed."""
        replaying = self.tail.phase is Phase.REPLAYING
        return replaying and self.tail.position >= self.model.oldest


class Streams(RuleBasedStateMachine):
    """Posts, lost and late appends, restarts and retention in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.model = Model()
        self.nodes = [CoreNode(i, 0, self.model, 0.0) for i in range(NODES)]
        self.in_the_air: list[Call] = []
        self.names = 0

    @rule(node=integers(0, NODES - 1), count=integers(1, 4))
    def post(self, node: int, count: int) -> None:
        for _ in range(count):
            self.post_one(self.nodes[node])

    def post_one(self, node: CoreNode) -> None:
        name = f"r{self.names}"
        self.names += 1
        node.posted.append(name)
        node.post(len(node.posted) - 1, (top_up(name),))

    @rule(
        node=integers(0, NODES - 1),
        fate=sampled_from(["ack", "lost", "failed", "throttled", "late"]),
    )
    def deliver(self, node: int, fate: str) -> None:
        target = self.nodes[node]
        if target.calls:
            self.execute(target, target.calls.pop(0), fate)

    def execute(self, node: CoreNode, call: Call, fate: str) -> None:
        sequence, data = call.append
        if fate in ("ack", "lost"):
            self.model.append(data)
        if fate == "late":
            self.in_the_air.append(call)
        if fate == "ack":
            node.tell_writer(Acknowledged(sequence, 0.01))
            return
        failure = LogFailure(fate in ("lost", "late"), fate, fate == "throttled")
        node.tell_writer(AppendFailed(sequence, failure))

    @rule(which=integers(0, 9))
    def land(self, which: int) -> None:
        """Execute an append whose sender has given it up."""
        if self.in_the_air:
            call = self.in_the_air.pop(which % len(self.in_the_air))
            self.model.append(call.append.data)

    @rule(node=integers(0, NODES - 1), limit=integers(1, 8))
    def read(self, node: int, limit: int) -> None:
        self.nodes[node].read(limit)

    @rule(seconds=sampled_from([0.01, 0.2, 3.0, 400.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for node in self.nodes:
            node.now = self.now
            node.tell_writer(Ticked())

    @rule(seconds=sampled_from([0.1, 1.0, 5.0]))
    def work(self, seconds: float) -> None:
        """Let all go well for a while."""
        self.pass_time(seconds)
        for node in self.nodes:
            if node.calls:
                self.execute(node, node.calls.pop(0), "ack")
            node.read(2)

    @rule(kept=integers(0, 24))
    def trim(self, kept: int) -> None:
        self.model.oldest = max(self.model.oldest, len(self.model.records) - kept)

    @rule(node=integers(0, NODES - 1))
    def restart(self, node: int) -> None:
        """Start a cold process; what it had sent may still arrive."""
        old = self.nodes[node]
        self.in_the_air.extend(old.calls)
        self.nodes[node] = CoreNode(node, old.life + 1, self.model, self.now)

    @invariant()
    def ready_means_replayed(self) -> None:
        for node in self.nodes:
            if is_ready(node.tail):
                last = node.tail.position - 1
                assert node.replica.applied == self.model.expected(last)

    def teardown(self) -> None:
        covered = self.model.oldest == 0
        survivors = any(node.can_go_on() for node in self.nodes)
        for _ in range(HEALING_ROUNDS):
            self.heal()
        if covered or survivors:
            self.check_all_recovered()
        else:
            self.check_none_guesses()

    def heal(self) -> None:
        self.pass_time(HEALING_SECONDS)
        for node in self.nodes:
            while node.calls:
                self.execute(node, node.calls.pop(0), "ack")
        for node in self.nodes:
            node.read(1000)
            node.read(1000)

    def check_all_recovered(self) -> None:
        applied = self.model.oracle.applied
        assert len(applied) == len(set(applied))
        for node in self.nodes:
            assert is_ready(node.tail), node.tail.phase
            assert node.replica.applied == applied
            assert is_idle(node.writer)
            assert node.resolved == set(range(len(node.posted)))
            assert [name for name in applied if name in node.posted] == node.posted

    def check_none_guesses(self) -> None:
        """Check that nodes agree whether a checkpoint on the log covers."""
        ready = [is_ready(node.tail) for node in self.nodes]
        assert all(ready) or not any(ready)
        if all(ready):
            self.check_all_recovered()


TestStreams = Streams.TestCase
TestStreams.settings = SETTINGS
