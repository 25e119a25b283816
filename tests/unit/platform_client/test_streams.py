"""A writer and a tail together, over the log's faults."""

from asyncio import Condition, gather, get_running_loop, sleep, timeout
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from itertools import count

import pytest
from msgpack import packb

from clementinebend_bench.models.virtual_loop import VirtualLoop, run_virtually
from clementinebend_platform_client.checkpoint_policy import CheckpointPolicy
from clementinebend_platform_client.exceptions import (
    BrokenInvariantError,
    CoverageLost,
    NewerSchema,
    PostRefusal,
)
from clementinebend_platform_client.tail import StreamTail, TailSettings
from clementinebend_platform_client.writer import StreamWriter
from clementinebend_platform_client.writer_core import WriterSettings
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Batch, Checkpoint
from tests.lib.fake_log import FakeLog
from tests.lib.replica import Replica, top_up

STREAM = "ledger-0"
HANG_SECONDS = 60.0
"""Only a condition that never comes true is waited for so long."""

SAME_ITERATION = 1e-10
"""Seconds between two timers that the event loop handles in the same iteration."""

FAST = WriterSettings(
    appends_per_second=1000.0,
    share=1.0,
    longest_interval=0.01,
    first_backoff=0.001,
    longest_backoff=0.01,
    read_back_patience=1000.0,
)
NO_CHECKPOINTS = CheckpointPolicy(every=10**9, age=10**9, retention_margin=0.0)
EAGER = CheckpointPolicy(every=4, stagger=0.0, urgent_stagger=0.0)


class Node:
    """One process: a writer, a tail and the state they serve."""

    def __init__(
        self,
        log: FakeLog,
        name: str,
        policy: CheckpointPolicy = NO_CHECKPOINTS,
        writer_settings: WriterSettings = FAST,
    ) -> None:
        client = log.client(name)
        self.replica = Replica(STREAM)
        self.outcomes: list[object] = []
        self.errors: list[BaseException] = []
        self.changed = Condition()
        self.writer = StreamWriter(
            client, STREAM, Incarnation(name), writer_settings, self.errors.append
        )
        self.tail = StreamTail(
            client,
            STREAM,
            self.on_batch,
            self.on_restore,
            make_checkpoint=self.replica.checkpoint,
            writer=self.writer,
            on_outcome=self.outcomes.append,
            settings=TailSettings(
                limit=3,
                wait=0.01,
                first_backoff=0.001,
                longest_backoff=0.01,
                policy=policy,
            ),
            on_broken=self.errors.append,
        )

    def on_batch(self, offset: int, batch: Batch) -> None:
        self.replica.on_batch(offset, batch)
        self.writer.on_read(offset, batch)

    def on_restore(self, checkpoint: Checkpoint) -> None:
        self.replica.restore(checkpoint)
        last = self.replica.sequences.get(self.writer.writer, 0)
        self.writer.on_restored(checkpoint.offset, last)

    async def post(self, name: str) -> int:
        outcome = await self.writer.post((top_up(name),))
        assert outcome.is_ok(), outcome
        return outcome.ok

    async def stop(self) -> None:
        await self.writer.close(0.0)
        await self.tail.close()


class Fleet:
    """Nodes on one log, all stopped at the end of a test."""

    def __init__(self) -> None:
        self.log = FakeLog()
        self.stack = AsyncExitStack()
        self.names = count()

    def node(
        self,
        policy: CheckpointPolicy = NO_CHECKPOINTS,
        writer_settings: WriterSettings = FAST,
    ) -> Node:
        node = Node(self.log, f"n{next(self.names)}", policy, writer_settings)
        self.stack.push_async_callback(node.stop)
        return node

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until ``condition`` holds; it is looked at with each call."""
        async with timeout(HANG_SECONDS):
            await self.log.wait_until(condition)

    async def caught_up(self, node: Node) -> None:
        """Wait until the node is ready at the log's end."""
        end = self.log.stream(STREAM).end
        await self.until(lambda: node.tail.ready.is_set() and position(node) >= end)


def position(node: Node) -> int:
    return node.tail.state.position


async def ended(node: Node) -> None:
    """Wait until the node's reader has stopped by itself."""
    async with timeout(HANG_SECONDS):
        await gather(node.tail.task, return_exceptions=True)


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    fleet = Fleet()
    async with fleet.stack:
        yield fleet


async def test_post_resolves_when_read_back_not_when_acknowledged(
    fleet: Fleet,
) -> None:
    node = fleet.node()
    await fleet.log.set(deaf=True)
    future = node.writer.post((top_up("a"),))
    await fleet.until(lambda: fleet.log.stream(STREAM).end == 1)
    await fleet.until(lambda: node.writer.failing_since is None)
    assert not future.done()
    await fleet.log.set(deaf=False)
    outcome = await future
    assert outcome.ok == 0
    assert node.replica.applied == ["a"]
    assert node.writer.delay > 0


async def test_lost_answers_are_applied_once(fleet: Fleet) -> None:
    node, other = fleet.node(), fleet.node()
    await fleet.log.set(deaf=True, lose_answers=3)
    future = node.writer.post((top_up("a"),))
    await fleet.until(lambda: fleet.log.lose_answers == 0)
    await fleet.log.set(deaf=False)
    assert (await future).is_ok()
    await node.post("b")
    await fleet.caught_up(node)
    await fleet.caught_up(other)
    assert len(fleet.log.batches(STREAM)) > len(node.replica.applied)
    assert node.replica.applied == other.replica.applied == ["a", "b"]


async def test_a_lost_answer_that_was_read_back_is_not_appended_again(
    fleet: Fleet,
) -> None:
    node = fleet.node(writer_settings=FAST._replace(first_backoff=1000.0))
    await fleet.log.set(lose_answers=1)
    assert await node.post("a") == 0
    assert await node.post("b") == 1
    assert fleet.log.appends[STREAM] == 2


async def test_two_writers_with_repeats_keep_their_own_order(fleet: Fleet) -> None:
    nodes = [fleet.node(), fleet.node()]
    await fleet.log.set(lose_answers=10)
    names = [[f"{node.writer.writer}-{i}" for i in range(20)] for node in nodes]
    posts = [
        node.post(name) for node, own in zip(nodes, names, strict=True) for name in own
    ]
    await gather(*posts)
    cold = fleet.node()
    for node in (*nodes, cold):
        await fleet.caught_up(node)
    for node in nodes:
        applied = node.replica.applied
        assert [name for name in applied if name in names[0]] == names[0]
        assert [name for name in applied if name in names[1]] == names[1]
        assert applied == cold.replica.applied


async def test_cold_reader_starts_from_nothing_but_the_log(fleet: Fleet) -> None:
    await fleet.log.set(retain=8)
    warm = fleet.node(EAGER)
    names = [f"r{i}" for i in range(40)]
    for name in names:
        await warm.post(name)
    assert fleet.log.stream(STREAM).oldest > 0
    cold = fleet.node()
    await fleet.caught_up(cold)
    assert cold.replica.restored >= 1
    assert cold.replica.applied == names
    assert cold.replica.sequences[warm.writer.writer] >= len(names)


async def test_retention_runs_out_during_a_long_outage(fleet: Fleet) -> None:
    warm = fleet.node(EAGER._replace(every=10**9))
    for name in "abc":
        await warm.post(name)
    await fleet.log.set(outage=True)
    pending = warm.writer.post((top_up("d"),))
    await fleet.log.trim(STREAM, fleet.log.stream(STREAM).end)
    await fleet.log.set(outage=False, cut={"n0"})
    cold = fleet.node()
    await fleet.until(lambda: bool(cold.outcomes))
    assert cold.outcomes == [CoverageLost(STREAM, 3, 3)]
    assert not cold.tail.ready.is_set()
    assert cold.replica.applied == []
    await fleet.log.set(cut=set())
    assert (await pending).is_ok()
    await fleet.caught_up(cold)
    assert cold.replica.applied == list("abcd")


async def test_a_lagging_reader_overtaken_by_retention_takes_a_checkpoint(
    fleet: Fleet,
) -> None:
    await fleet.log.set(retain=8)
    warm, lagging = fleet.node(EAGER), fleet.node()
    await warm.post("a")
    await fleet.caught_up(lagging)
    await fleet.log.set(cut={"n1"})
    pending = lagging.writer.post((top_up("late"),))
    for i in range(30):
        await warm.post(f"r{i}")
    await fleet.log.set(cut=set())
    assert (await pending).is_ok()
    await fleet.caught_up(warm)
    await fleet.caught_up(lagging)
    assert lagging.replica.restored >= 1
    assert lagging.replica.applied == warm.replica.applied
    assert len(lagging.replica.applied) == 32


async def test_a_checkpoint_that_lost_the_race_with_retention_is_not_used(
    fleet: Fleet,
) -> None:
    source, full = Replica(STREAM), Replica(STREAM)
    for i in range(10):
        batch = Batch(Incarnation("w"), i + 1, (top_up(f"r{i}"),))
        offset = fleet.log.put(STREAM, batch)
        full.on_batch(offset, batch)
        if offset <= 3:
            source.on_batch(offset, batch)
    early = Batch(Incarnation("c"), 1, (source.checkpoint(),))
    fleet.log.put(STREAM, early)
    await fleet.log.trim(STREAM, 5)
    cold = fleet.node()
    await fleet.until(lambda: bool(cold.outcomes))
    assert cold.outcomes == [CoverageLost(STREAM, 5, 11)]
    assert cold.replica.applied == []
    fleet.log.put(STREAM, Batch(Incarnation("c"), 2, (full.checkpoint(),)))
    await fleet.caught_up(cold)
    assert cold.replica.applied == full.applied
    assert cold.replica.sequences == {"w": 10, "c": 2}


async def test_different_digests_at_one_offset_are_a_broken_invariant(
    fleet: Fleet,
) -> None:
    node = fleet.node(NO_CHECKPOINTS._replace(every=2))
    await node.post("a")
    await node.post("b")
    wrong = Checkpoint(STREAM, 1, "other", b"")
    fleet.log.put(STREAM, Batch(Incarnation("w"), 1, (wrong,)))
    await ended(node)
    assert [type(error) for error in node.errors] == [BrokenInvariantError]
    assert STREAM in str(node.errors[0])


async def test_newer_schema_halts_the_reader_and_garbage_does_not(
    fleet: Fleet,
) -> None:
    node = fleet.node()
    fleet.log.put_bytes(STREAM, b"\xc1 no msgpack")
    assert await node.post("a") == 1
    fleet.log.put_bytes(STREAM, packb([99, "w", 1, [[999]]]))
    fleet.log.put(STREAM, Batch(Incarnation("w"), 2, (top_up("after"),)))
    await ended(node)
    assert node.outcomes == [NewerSchema(STREAM, 2, 99)]
    assert not node.tail.ready.is_set()
    assert node.replica.applied == ["a"]


async def test_full_queue_is_a_failure_value_and_loses_nothing_queued(
    fleet: Fleet,
) -> None:
    size = 60
    node = fleet.node(writer_settings=FAST._replace(queue_bytes=3 * size))
    await fleet.log.set(outage=True)
    posts = [node.writer.post((top_up(f"r{i}"),)) for i in range(20)]
    await fleet.until(lambda: node.writer.failing_since is not None)
    await fleet.log.set(outage=False)
    outcomes = await gather(*posts)
    kept = [f"r{i}" for i, outcome in enumerate(outcomes) if outcome.is_ok()]
    refused = [outcome.error for outcome in outcomes if outcome.is_error()]
    assert kept
    assert {(error.reason, error.maybe_done) for error in refused} == {
        (PostRefusal.QUEUE_FULL, False)
    }
    assert node.replica.applied == kept


async def test_close_flushes_and_tells_what_it_could_not(fleet: Fleet) -> None:
    node, other = fleet.node(), fleet.node()
    posts = [node.writer.post((top_up(f"r{i}"),)) for i in range(5)]
    await node.writer.close(60.0)
    assert all(post.result().is_ok() for post in posts)
    late = await node.writer.post((top_up("late"),))
    assert late.error.reason is PostRefusal.CLOSED
    await fleet.log.set(outage=True)
    sent = other.writer.post((top_up("sent"),))
    await fleet.until(lambda: other.writer.failing_since is not None)
    queued = other.writer.post((top_up("queued"),))
    await other.writer.close(0.0)
    assert sent.result().error.maybe_done
    assert not queued.result().error.maybe_done


async def appends_of_batch_read_back_in_time() -> int:
    """Return the appends of a batch that is read back as its patience ends.

    Both are handled in the same iteration of the event loop.
    """
    log = FakeLog()
    settings = FAST._replace(read_back_patience=1.0)
    writer = StreamWriter(log.client("n0"), STREAM, Incarnation("n0"), settings)
    posted = writer.post((top_up("a"),))
    await sleep(settings.read_back_patience / 2)
    assert writer.state.in_flight is not None
    retry_at = writer.state.in_flight.retry_at
    ((offset, batch),) = log.batches(STREAM)
    loop = get_running_loop()
    assert isinstance(loop, VirtualLoop)
    loop.call_at(retry_at - SAME_ITERATION, writer.on_read, offset, batch)
    loop.call_at(retry_at - SAME_ITERATION / 2, setattr, loop.jumping, "now", retry_at)
    assert (await posted).is_ok()
    await writer.close(HANG_SECONDS)
    return log.appends[STREAM]


def test_a_batch_that_is_read_back_together_with_its_retry_is_appended_once() -> None:
    """Guards against a repeated append after a late iteration of the event loop."""
    assert run_virtually(appends_of_batch_read_back_in_time()) == 1
