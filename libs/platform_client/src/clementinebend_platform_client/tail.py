"""The task that owns a reader of one stream and carries out its effects."""

from asyncio import (
    Event,
    Task,
    create_task,
    gather,
    get_running_loop,
    sleep,
)
from collections.abc import Callable
from functools import singledispatchmethod
from logging import getLogger
from typing import NamedTuple

from expression import Result
from prometheus_client import Counter, Gauge

from clementinebend_platform_client.checkpoint_policy import CheckpointPolicy
from clementinebend_platform_client.exceptions import CoverageLost, NewerSchema
from clementinebend_platform_client.log_client import LogClient, LogFailure, Trimmed
from clementinebend_platform_client.schedule import backoff
from clementinebend_platform_client.supervision import OnBroken, stop_process, watch
from clementinebend_platform_client.tail_core import (
    Phase,
    advance_tail,
    candidate_due_at,
    is_ready,
    new_tail,
)
from clementinebend_platform_client.tail_events import (
    Apply,
    CheckpointSettled,
    CheckpointTaken,
    PageRead,
    PostCheckpoint,
    Report,
    Restore,
    Skip,
    TailEffect,
    TailEvent,
    TakeCheckpoint,
    TrimmedSeen,
)
from clementinebend_platform_client.writer import StreamWriter
from clementinebend_records.records import Batch, Checkpoint

logger = getLogger(__name__)

BATCHES_READ = Counter(
    "clementinebend_log_batches_read", "Batches replayed.", ("stream",)
)
BATCHES_SKIPPED = Counter(
    "clementinebend_log_batches_skipped", "Appends that are no batch.", ("stream",)
)
READS_FAILED = Counter(
    "clementinebend_log_reads_failed", "Reads that the log did not answer.", ("stream",)
)
RESTORES = Counter(
    "clementinebend_log_restores", "Starts from a checkpoint.", ("stream",)
)
COVERAGE_LOST = Counter(
    "clementinebend_log_coverage_lost",
    "Times that no checkpoint covered what the log had trimmed.",
    ("stream",),
)
READY = Gauge(
    "clementinebend_log_reader_ready", "1 while the stream is replayed.", ("stream",)
)

OnBatch = Callable[[int, Batch], None]
OnRestore = Callable[[Checkpoint], None]
MakeCheckpoint = Callable[[], Checkpoint]
TailOutcome = CoverageLost | NewerSchema
OnOutcome = Callable[[TailOutcome], None]


class TailSettings(NamedTuple):
    """How a reader asks the log; times in seconds, ``limit`` in records."""

    limit: int = 500
    wait: float = 2.0
    first_backoff: float = 0.1
    longest_backoff: float = 5.0
    policy: CheckpointPolicy = CheckpointPolicy()


DEFAULT_SETTINGS = TailSettings()


class StreamTail:
    """Reads one stream in order and hands each batch to ``on_batch`` once.

    Create it inside a running loop. ``restore`` replaces the owner's state;
    batches after the checkpoint follow. With ``make_checkpoint`` and
    ``writer`` it appends checkpoints of the owner's state as the policy asks.
    ``on_outcome`` is told why the reader is not ready.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        on_batch: OnBatch,
        restore: OnRestore,
        make_checkpoint: MakeCheckpoint | None = None,
        writer: StreamWriter | None = None,
        on_outcome: OnOutcome | None = None,
        settings: TailSettings = DEFAULT_SETTINGS,
        on_broken: OnBroken = stop_process,
    ) -> None:
        self.client = client
        self.stream = stream
        self.on_batch = on_batch
        self.restore = restore
        self.make_checkpoint = make_checkpoint
        self.writer = writer
        self.on_outcome = on_outcome
        self.settings = settings
        self.loop = get_running_loop()
        reader = "" if writer is None else writer.writer
        self.state = new_tail(stream, reader, settings.policy, self.loop.time())
        self.ready = Event()
        self.caught_up_at: float | None = None
        self.failures = 0
        self.task: Task[None] = create_task(self.run(), name=f"tail of {stream}")
        watch(self.task, on_broken)

    async def close(self) -> None:
        """Stop reading."""
        self.task.cancel()
        await gather(self.task, return_exceptions=True)

    async def run(self) -> None:
        """Read until halted."""
        while self.state.phase is not Phase.HALTED:
            await self.read_once()

    async def read_once(self) -> None:
        """Read one page and take it in, or back off after a failure."""
        limit = self.settings.limit
        position = self.state.position
        answer = await self.client.read(self.stream, position, limit, self.read_wait())
        match answer:
            case Result(tag="ok", ok=page):
                self.failures = 0
                at_end = len(page.records) < limit
                self.take(PageRead(page, at_end))
                if at_end:
                    self.caught_up_at = self.loop.time()
            case Result(error=Trimmed(oldest=oldest)):
                self.take(TrimmedSeen(oldest))
            case Result(error=LogFailure()):
                await self.back_off()

    def read_wait(self) -> float:
        """Return the seconds that the next read may wait for a record."""
        if not self.state.caught_up and self.state.phase is not Phase.UNCOVERED:
            return 0.0
        now = self.loop.time()
        due = candidate_due_at(self.state, now)
        if due is None:
            return self.settings.wait
        return min(self.settings.wait, max(0.0, due - now))

    async def back_off(self) -> None:
        """Wait before reading again."""
        self.failures += 1
        READS_FAILED.labels(self.stream).inc()
        if self.failures == 1:
            logger.warning("%s: reads fail", self.stream)
        settings = self.settings
        wait = backoff(
            settings.first_backoff,
            settings.longest_backoff,
            self.failures,
            self.stream,
            self.state.reader,
        )
        await sleep(wait)

    def take(self, event: TailEvent) -> None:
        """Take in one event and carry out what follows from it."""
        phase = self.state.phase
        self.state, effects = advance_tail(self.state, event, self.loop.time())
        for effect in effects:
            self.perform(effect)
        self.show_readiness()
        if self.state.phase is not phase:
            logger.info("%s: reader is %s", self.stream, self.state.phase)

    def show_readiness(self) -> None:
        """Set or clear ``ready``."""
        if is_ready(self.state):
            self.ready.set()
        else:
            self.ready.clear()
        READY.labels(self.stream).set(self.ready.is_set())

    @singledispatchmethod
    def perform(self, effect: TailEffect) -> None:
        """Carry out one effect."""
        raise TypeError(f"no tail effect: {effect!r}")

    @perform.register
    def _(self, effect: Apply) -> None:
        BATCHES_READ.labels(self.stream).inc()
        self.on_batch(effect.offset, effect.batch)

    @perform.register
    def _(self, effect: Restore) -> None:
        RESTORES.labels(self.stream).inc()
        self.restore(effect.checkpoint)

    @perform.register
    def _(self, effect: TakeCheckpoint) -> None:
        if self.make_checkpoint is not None and self.writer is not None:
            checkpoint = self.make_checkpoint()
            self.take(CheckpointTaken(checkpoint, effect.at_boundary))

    @perform.register
    def _(self, effect: PostCheckpoint) -> None:
        if self.writer is not None:
            future = self.writer.post((effect.checkpoint,))
            future.add_done_callback(lambda _: self.take(CheckpointSettled()))

    @perform.register
    def _(self, effect: Skip) -> None:
        BATCHES_SKIPPED.labels(self.stream).inc()
        logger.warning(
            "%s: skipped offset %d: %s", self.stream, effect.offset, effect.reason
        )

    @perform.register
    def _(self, effect: Report) -> None:
        self.report(effect.outcome)

    def report(self, outcome: TailOutcome) -> None:
        """Say loudly that the reader is not ready."""
        if isinstance(outcome, CoverageLost):
            COVERAGE_LOST.labels(self.stream).inc()
        logger.error("%s: not ready: %s", self.stream, outcome)
        if self.on_outcome is not None:
            self.on_outcome(outcome)
