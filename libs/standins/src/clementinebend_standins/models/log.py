"""Pure model of the log service: streams of records with limited retention."""

from collections import deque
from itertools import islice
from typing import NamedTuple

RATE_WINDOW = 1.0
"""Seconds over which appends are counted against the rate limit."""


class LogStream(NamedTuple):
    """Records of one stream; the first kept one has the offset ``oldest``."""

    oldest: int
    records: deque[bytes]


class LogState(NamedTuple):
    """All streams, and the times of the latest appends in monotonic seconds."""

    streams: dict[str, LogStream]
    append_times: deque[float]


class Page(NamedTuple):
    """Records from one read; ``next_offset`` is where the next one begins."""

    records: tuple[tuple[int, bytes], ...]
    next_offset: int
    oldest: int


class Trimmed(NamedTuple):
    """The offset asked for is no longer kept."""

    oldest: int


class RateExceeded(NamedTuple):
    """The append was not done: too many in the last second."""


def empty_log() -> LogState:
    """Return a log without streams."""
    return LogState({}, deque())


def append(
    state: LogState,
    name: str,
    data: bytes,
    now: float,
    retain: int = 0,
    appends_per_second: int = 0,
) -> tuple[LogState, int | RateExceeded]:
    """Append ``data`` and return its offset; limits of 0 mean unlimited."""
    times = state.append_times
    while times and times[0] <= now - RATE_WINDOW:
        times.popleft()
    if appends_per_second and len(times) >= appends_per_second:
        return state, RateExceeded()
    times.append(now)
    stream = _stream(state, name)
    stream.records.append(data)
    state.streams[name] = _trimmed(stream, retain)
    return state, end_offset(state, name) - 1


def trim(state: LogState, retain: int) -> LogState:
    """Keep only the newest ``retain`` records of each stream; 0 keeps all."""
    for name, stream in state.streams.items():
        state.streams[name] = _trimmed(stream, retain)
    return state


def read(state: LogState, name: str, offset: int, limit: int) -> Page | Trimmed:
    """Return up to ``limit`` records from ``offset`` on."""
    stream = _stream(state, name)
    if offset < stream.oldest:
        return Trimmed(stream.oldest)
    start = offset - stream.oldest
    found = islice(stream.records, start, start + limit)
    records = tuple(enumerate(found, offset))
    return Page(records, offset + len(records), stream.oldest)


def end_offset(state: LogState, name: str) -> int:
    """Return the offset that the next append to the stream will get."""
    stream = _stream(state, name)
    return stream.oldest + len(stream.records)


def _stream(state: LogState, name: str) -> LogStream:
    return state.streams.get(name) or LogStream(0, deque())


def _trimmed(stream: LogStream, retain: int) -> LogStream:
    surplus = len(stream.records) - retain if retain else 0
    for _ in range(surplus):
        stream.records.popleft()
    return stream._replace(oldest=stream.oldest + max(surplus, 0))
