"""A heap of events in virtual time; ties keep the order of scheduling."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count
from typing import Generic, NamedTuple, TypeVar

Event = TypeVar("Event")


class Timeline(NamedTuple, Generic[Event]):
    """Events to come, by time in seconds."""

    heap: list[tuple[float, int, Event]]
    numbers: "count[int]"


def schedule(timeline: Timeline[Event], time: float, event: Event) -> None:
    """Add an event at ``time``."""
    heappush(timeline.heap, (time, next(timeline.numbers), event))


def events_until(
    timeline: Timeline[Event], end: float
) -> Iterator[tuple[float, Event]]:
    """Yield the events in order, with those scheduled meanwhile, up to ``end``."""
    while timeline.heap and timeline.heap[0][0] <= end:
        time, _, event = heappop(timeline.heap)
        yield time, event
