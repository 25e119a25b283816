"""Decisions of the writer of one stream: ``(state, event, now) -> (state, effects)``.

Posts are collected into batches. One batch is in flight at a time: it is
appended, and appended again under the same sequence number, until it is read
back. A later batch is never sent before that, so the log holds the first
appearances of a writer's batches in their order. Times are monotonic seconds
and serve policy only.
"""

from collections import deque
from functools import singledispatch
from itertools import islice
from typing import NamedTuple

from clementinebend_platform_client.exceptions import PostRefusal, post_failed
from clementinebend_platform_client.schedule import backoff
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
from clementinebend_records.codec import encode_batch
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Batch, Record

LOG_APPENDS_PER_SECOND = 400
"""Appends a second that the log is taken to bear."""
WRITER_SHARE = 1 / 16
"""Share of the log's appends a second that one writer may take by default."""
LATENCY_FACTOR = 0.5
"""Shortest interval between appends, in recent latencies of an append."""
INTERVAL_GROWTH = 2.0
INTERVAL_DECAY = 0.9
LATENCY_GAIN = 0.2
DELAY_GAIN_UP = 0.5
DELAY_GAIN_DOWN = 0.1


class WriterSettings(NamedTuple):
    """Bounds of a writer; times in seconds, sizes in bytes.

    A batch grows up to ``batch_bytes``; one post may be larger, up to
    ``post_bytes``, and then goes alone.
    """

    appends_per_second: float = LOG_APPENDS_PER_SECOND
    share: float = WRITER_SHARE
    longest_interval: float = 5.0
    first_backoff: float = 0.1
    longest_backoff: float = 10.0
    read_back_patience: float = 5.0
    batch_bytes: int = 256 * 1024
    post_bytes: int = 3 * 1024 * 1024
    queue_bytes: int = 8 * 1024 * 1024


class Post(NamedTuple):
    """Records that go into one batch together."""

    ticket: int
    records: tuple[Record, ...]
    size: int
    posted_at: float


class InFlight(NamedTuple):
    """The batch that waits to be read back."""

    sequence: int
    data: bytes
    posts: tuple[Post, ...]
    attempts: int
    answered: bool
    retry_at: float


class WriterState(NamedTuple):
    """All that a writer knows; ``failing_since`` is None while the log answers."""

    stream: str
    writer: Incarnation
    settings: WriterSettings
    queue: deque[Post]
    queue_bytes: int = 0
    sequence: int = 0
    in_flight: InFlight | None = None
    interval: float = 0.0
    latency: float = 0.0
    last_append: float = float("-inf")
    delay: float = 0.0
    failing_since: float | None = None
    closing: bool = False


Step = tuple[WriterState, tuple[WriterEffect, ...]]


def new_writer(
    stream: str, writer: Incarnation, settings: WriterSettings
) -> WriterState:
    """Return a writer that has written nothing."""
    state = WriterState(stream, writer, settings, deque())
    return state._replace(interval=shortest_interval(state))


def advance_writer(state: WriterState, event: WriterEvent, now: float) -> Step:
    """Take in one event, then append what is due."""
    state, effects = _on(event, state, now)
    state, appends = _send_due(state, now)
    return state, (*effects, *appends)


def wake_at(state: WriterState) -> float | None:
    """Return when the next append is due without any event, or None."""
    if state.in_flight is not None:
        return state.in_flight.retry_at if state.in_flight.answered else None
    return _next_append(state) if state.queue else None


def delay_of(state: WriterState, now: float) -> float:
    """Return the recent seconds from post to read-back.

    A post that has waited longer than that counts already while it waits.
    """
    waiting = (
        *(state.in_flight.posts if state.in_flight else ()),
        *islice(state.queue, 1),
    )
    ages = (now - post.posted_at for post in waiting)
    return max(state.delay, *ages, 0.0)


def is_idle(state: WriterState) -> bool:
    """Tell whether everything posted has been read back."""
    return state.in_flight is None and not state.queue


def shortest_interval(state: WriterState) -> float:
    """Return the least seconds between two appends of this writer."""
    settings = state.settings
    by_share = 1 / (settings.appends_per_second * settings.share)
    by_latency = LATENCY_FACTOR * state.latency
    return min(settings.longest_interval, max(by_share, by_latency))


@singledispatch
def _on(event: WriterEvent, state: WriterState, now: float) -> Step:
    raise TypeError(f"no writer event: {event!r}")


@_on.register
def _(event: Posted, state: WriterState, now: float) -> Step:
    if state.closing:
        return state, (_refuse(state, event.ticket, PostRefusal.CLOSED),)
    size = len(encode_batch(Batch(state.writer, 0, event.records)))
    if size > state.settings.post_bytes:
        return state, (_refuse(state, event.ticket, PostRefusal.TOO_LARGE),)
    if state.queue_bytes + size > state.settings.queue_bytes:
        return state, (_refuse(state, event.ticket, PostRefusal.QUEUE_FULL),)
    post = Post(event.ticket, event.records, size, now)
    state.queue.append(post)
    return state._replace(queue_bytes=state.queue_bytes + size), ()


@_on.register
def _(event: Acknowledged, state: WriterState, now: float) -> Step:
    latency = state.latency + LATENCY_GAIN * (event.latency - state.latency)
    state = state._replace(latency=latency, failing_since=None)
    floor = shortest_interval(state)
    interval = max(floor, state.interval * INTERVAL_DECAY)
    state = state._replace(interval=interval)
    wait = state.settings.read_back_patience
    return _answered(state, event.sequence, now, wait), ()


@_on.register
def _(event: AppendFailed, state: WriterState, now: float) -> Step:
    if event.failure.throttled:
        interval = state.interval * INTERVAL_GROWTH
        longest = state.settings.longest_interval
        state = state._replace(interval=min(longest, interval))
    if state.in_flight is None or state.in_flight.sequence != event.sequence:
        return state, ()
    if state.failing_since is None:
        state = state._replace(failing_since=now)
    return _answered(state, event.sequence, now, 0.0), ()


@_on.register
def _(event: ReadBack, state: WriterState, now: float) -> Step:
    if state.in_flight is None or state.in_flight.sequence != event.sequence:
        return state, ()
    return _finish(state, state.in_flight, event.offset, now)


@_on.register
def _(event: Restored, state: WriterState, now: float) -> Step:
    batch = state.in_flight
    if batch is None:
        return state, ()
    if batch.sequence <= event.sequence:
        return _finish(state, batch, event.offset, now)
    return state._replace(in_flight=batch._replace(retry_at=now)), ()


@_on.register
def _(event: Ticked, state: WriterState, now: float) -> Step:
    return state, ()


@_on.register
def _(event: Closing, state: WriterState, now: float) -> Step:
    return state._replace(closing=True), ()


@_on.register
def _(event: Abandoned, state: WriterState, now: float) -> Step:
    sent = state.in_flight.posts if state.in_flight else ()
    reason = PostRefusal.NOT_READ_BACK
    refusals = (
        *(_refuse(state, post.ticket, reason, maybe_done=True) for post in sent),
        *(_refuse(state, post.ticket, reason) for post in state.queue),
    )
    state.queue.clear()
    emptied = state._replace(queue_bytes=0, in_flight=None, closing=True)
    return emptied, refusals


def _answered(
    state: WriterState, sequence: int, now: float, patience: float
) -> WriterState:
    batch = state.in_flight
    if batch is None or batch.sequence != sequence:
        return state
    settings = state.settings
    wait = patience + backoff(
        settings.first_backoff,
        settings.longest_backoff,
        batch.attempts,
        state.writer,
        sequence,
    )
    answered = batch._replace(answered=True, retry_at=now + wait)
    return state._replace(in_flight=answered)


def _finish(state: WriterState, batch: InFlight, offset: int, now: float) -> Step:
    sample = max(now - post.posted_at for post in batch.posts)
    gain = DELAY_GAIN_UP if sample > state.delay else DELAY_GAIN_DOWN
    delay = state.delay + gain * (sample - state.delay)
    tickets = tuple(post.ticket for post in batch.posts)
    size = sum(post.size for post in batch.posts)
    state = state._replace(
        in_flight=None,
        delay=delay,
        failing_since=None,
        queue_bytes=state.queue_bytes - size,
    )
    return state, (Resolve(tickets, offset),)


def _send_due(state: WriterState, now: float) -> Step:
    if state.in_flight is None:
        return _send_next(state, now)
    batch = state.in_flight
    if not batch.answered or now < batch.retry_at:
        return state, ()
    return _send(state, batch, now)


def _send_next(state: WriterState, now: float) -> Step:
    if not state.queue or now < _next_append(state):
        return state, ()
    posts = _take(state.queue, state.settings.batch_bytes)
    sequence = state.sequence + 1
    records = tuple(record for post in posts for record in post.records)
    data = encode_batch(Batch(state.writer, sequence, records))
    state = state._replace(sequence=sequence)
    return _send(state, InFlight(sequence, data, posts, 0, False, now), now)


def _send(state: WriterState, batch: InFlight, now: float) -> Step:
    batch = batch._replace(attempts=batch.attempts + 1, answered=False)
    state = state._replace(in_flight=batch, last_append=now)
    return state, (Append(batch.sequence, batch.data),)


def _next_append(state: WriterState) -> float:
    return state.last_append + (0.0 if state.closing else state.interval)


def _take(queue: deque[Post], batch_bytes: int) -> tuple[Post, ...]:
    posts = [queue.popleft()]
    total = posts[0].size
    while queue and total + queue[0].size <= batch_bytes:
        posts.append(queue.popleft())
        total += posts[-1].size
    return tuple(posts)


def _refuse(
    state: WriterState, ticket: int, reason: PostRefusal, maybe_done: bool = False
) -> Refuse:
    return Refuse(ticket, post_failed(state.stream, reason, maybe_done))
