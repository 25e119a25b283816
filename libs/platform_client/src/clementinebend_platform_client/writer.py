"""The task that owns the writer of one stream and carries out its effects.

An event that has arrived is always taken in before the clock is looked at, so
a batch that the tail has read back is never appended again.
"""

from asyncio import (
    Event,
    Future,
    Queue,
    Task,
    create_task,
    gather,
    get_running_loop,
    timeout,
    timeout_at,
)
from collections.abc import Iterable
from functools import singledispatchmethod
from itertools import count
from logging import getLogger

from expression import Error, Ok, Result
from prometheus_client import Counter, Histogram

from clementinebend_platform_client.exceptions import PostFailed
from clementinebend_platform_client.log_client import LogClient, LogFailure
from clementinebend_platform_client.supervision import OnBroken, stop_process, watch
from clementinebend_platform_client.writer_core import (
    WriterSettings,
    advance_writer,
    delay_of,
    is_idle,
    new_writer,
    wake_at,
)
from clementinebend_platform_client.writer_events import (
    Abandoned,
    Acknowledged,
    Append,
    AppendFailed,
    Closing,
    Posted,
    ReadBack,
    Refuse,
    Resolve,
    Restored,
    Ticked,
    WriterEffect,
    WriterEvent,
)
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Batch, Record

logger = getLogger(__name__)

PostOutcome = Result[int, PostFailed]
"""The offset at which the records were read back, or why they were not."""

APPENDS = Counter(
    "clementinebend_log_appends", "Appends to the log.", ("stream", "outcome")
)
POSTS_FAILED = Counter(
    "clementinebend_log_posts_failed",
    "Posts that were not read back.",
    ("stream", "reason"),
)
APPEND_SECONDS = Histogram(
    "clementinebend_log_append_seconds",
    "Seconds that the log took to acknowledge an append.",
    ("stream",),
)


DEFAULT_SETTINGS = WriterSettings()


class StreamWriter:
    """Writes records of one incarnation to one stream.

    Create it inside a running loop. The owner passes each batch that its tail
    reads to ``on_read``; without that no post is ever resolved.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        writer: Incarnation,
        settings: WriterSettings = DEFAULT_SETTINGS,
        on_broken: OnBroken = stop_process,
    ) -> None:
        self.client = client
        self.stream = stream
        self.writer = writer
        self.loop = get_running_loop()
        self.state = new_writer(stream, writer, settings)
        self.events: Queue[WriterEvent] = Queue()
        self.tickets = count()
        self.futures: dict[int, Future[PostOutcome]] = {}
        self.calls: set[Task[None]] = set()
        self.flushed = Event()
        self.task = create_task(self.run(), name=f"writer of {stream}")
        watch(self.task, on_broken)

    def post(self, records: Iterable[Record]) -> Future[PostOutcome]:
        """Log ``records`` together, in one batch.

        The future gives the offset once they are read back. It gives a
        ``PostFailed`` if too much is queued already or the writer is closed.
        """
        ticket = next(self.tickets)
        future: Future[PostOutcome] = self.loop.create_future()
        self.futures[ticket] = future
        self.tell(Posted(ticket, tuple(records)))
        return future

    def on_read(self, offset: int, batch: Batch) -> None:
        """Take in a batch that the tail of the stream has read."""
        if batch.writer == self.writer:
            self.tell(ReadBack(batch.sequence, offset))

    def on_restored(self, offset: int, last_sequence: int) -> None:
        """Take in that replay went on from a checkpoint after ``offset``.

        ``last_sequence`` is this writer's last batch in that state, 0 if none.
        """
        self.tell(Restored(last_sequence, offset))

    @property
    def delay(self) -> float:
        """Recent seconds from a post to its read-back."""
        return delay_of(self.state, self.loop.time())

    @property
    def failing_since(self) -> float | None:
        """Loop time of the first failure in a row, None while the log answers."""
        return self.state.failing_since

    async def close(self, patience: float) -> None:
        """Flush for up to ``patience`` seconds, then fail what is left."""
        self.tell(Closing())
        try:
            async with timeout(patience):
                await self.flushed.wait()
        except TimeoutError:
            logger.warning("%s: closed with records not read back", self.stream)
        self.task.cancel()
        await gather(self.task, return_exceptions=True)
        self.take_queued()
        self.take(Abandoned())
        for call in self.calls:
            call.cancel()
        await gather(*self.calls, return_exceptions=True)

    def tell(self, event: WriterEvent) -> None:
        """Hand an event to the task, or take it in if the task has ended."""
        self.events.put_nowait(event)
        if self.task.done():
            self.take_queued()

    async def run(self) -> None:
        """Take in events for ever."""
        while True:
            self.take(await self.next_event())

    async def next_event(self) -> WriterEvent:
        """Return the next event, or a tick if an append falls due first."""
        wake = wake_at(self.state)
        if wake is None or not self.events.empty():
            return await self.events.get()
        try:
            async with timeout_at(wake):
                return await self.events.get()
        except TimeoutError:
            return Ticked() if self.events.empty() else self.events.get_nowait()

    def take_queued(self) -> None:
        """Take in all events that wait."""
        while not self.events.empty():
            self.take(self.events.get_nowait())

    def take(self, event: WriterEvent) -> None:
        """Take in one event and carry out what follows from it."""
        was_failing = self.failing_since is not None
        self.state, effects = advance_writer(self.state, event, self.loop.time())
        for effect in effects:
            self.perform(effect)
        if self.state.closing and is_idle(self.state):
            self.flushed.set()
        self.log_change(was_failing)

    @singledispatchmethod
    def perform(self, effect: WriterEffect) -> None:
        """Carry out one effect."""
        raise TypeError(f"no writer effect: {effect!r}")

    @perform.register
    def _(self, effect: Append) -> None:
        call = create_task(self.append(effect), name=f"append to {self.stream}")
        self.calls.add(call)
        call.add_done_callback(self.calls.discard)

    @perform.register
    def _(self, effect: Resolve) -> None:
        for ticket in effect.tickets:
            self.resolve(ticket, Ok(effect.offset))

    @perform.register
    def _(self, effect: Refuse) -> None:
        POSTS_FAILED.labels(self.stream, effect.failure.reason).inc()
        self.resolve(effect.ticket, Error(effect.failure))

    def resolve(self, ticket: int, outcome: PostOutcome) -> None:
        """Give a post its outcome, unless its owner has gone."""
        future = self.futures.pop(ticket)
        if not future.done():
            future.set_result(outcome)

    async def append(self, effect: Append) -> None:
        """Append a batch and tell the task how that went."""
        begun = self.loop.time()
        answer = await self.client.append(self.stream, effect.data)
        latency = self.loop.time() - begun
        match answer:
            case Result(tag="ok"):
                APPENDS.labels(self.stream, "acknowledged").inc()
                APPEND_SECONDS.labels(self.stream).observe(latency)
                self.tell(Acknowledged(effect.sequence, latency))
            case _:
                APPENDS.labels(self.stream, _outcome(answer.error)).inc()
                self.tell(AppendFailed(effect.sequence, answer.error))

    def log_change(self, was_failing: bool) -> None:
        """Write a line when the log stops or starts answering appends."""
        failing = self.failing_since is not None
        if failing and not was_failing:
            logger.warning("%s: appends fail; records are kept", self.stream)
        if was_failing and not failing:
            logger.info("%s: appends succeed again", self.stream)


def _outcome(failure: LogFailure) -> str:
    if failure.throttled:
        return "throttled"
    return "maybe_done" if failure.maybe_done else "failed"
