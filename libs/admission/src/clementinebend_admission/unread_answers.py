"""Decides on answers that wait, and on callers that do not read theirs. No I/O.

An entry holds what its callers have not taken yet of their answers. The sum is bounded:
an answer is read from its endpoint only if there is room for it, and the smallest one
goes first, so that the callers that would hold the most wait. Callers that have taken
nothing for longest are disconnected if an answer would otherwise wait for longer than
its own caller accepts, or if the sum is above the bound all the same.

Sizes are in bytes; times are in seconds on a monotonic clock.
"""

from collections.abc import Iterable
from math import exp, inf
from typing import NamedTuple

HELD_FRACTION = 0.25
"""Part of the entry's memory that unread answers may take; source: hard-load.md."""

UNPAUSED_BYTES = 64 * 1024
"""Largest answer that never waits. It fits into the buffer of its caller's connection,
so that calls with small answers are served whatever others do not read."""

IDLE_SECONDS = 1.0
"""Shortest time for which a caller that is disconnected has taken nothing: the initial
retransmission time-out, so that one lost packet is no idleness; source: RFC 6298."""

TRANSFER_SECONDS = 0.5
"""Time that is left to an answer, after its wait, to be read and sent before its caller
gives up."""

RATE_SECONDS = 0.5
"""Time constant of the rate at which all callers take bytes."""


class CallerReads(NamedTuple):
    """How a caller takes its answer: bytes so far, and when it last took any."""

    delivered: int
    read_at: float


class HeldAnswer(NamedTuple):
    """The bytes held for a caller, which last took some at ``read_at``."""

    caller: int
    held: int
    read_at: float


class WaitingAnswer(NamedTuple):
    """An answer that waits for room for ``wanted`` more bytes.

    ``total`` is its size then, ``buffered`` what has arrived of it meanwhile, and
    ``deadline`` the time at which its caller gives up.
    """

    answer: int
    wanted: int
    total: int
    buffered: int
    deadline: float


class Decision(NamedTuple):
    """The answers that may be read on, and the callers to disconnect."""

    resumed: tuple[int, ...]
    disconnected: tuple[int, ...]


def max_held(memory: int | None) -> int | None:
    """Return the bound on the bytes held for callers, None if memory is unlimited."""
    return None if memory is None else int(memory * HELD_FRACTION)


def needed_room(wanted: int, limit: int) -> int:
    """Return the room below which an answer of any size waits: half the bound at most.

    An answer that is larger than the bound would never be read otherwise.
    """
    return min(wanted, limit // 2)


def on_observed(
    before: CallerReads | None, delivered: int, offered: int, now: float
) -> CallerReads:
    """Return how a caller reads, as its system has taken ``delivered`` bytes so far.

    A caller that has taken all that was ``offered`` so far is not idle: an endpoint may
    be slow to send the rest of an event of which a part is held.
    """
    if before is None or delivered > before.delivered or delivered >= offered:
        return CallerReads(delivered, now)
    return before


def next_rate(rate: float, taken: int, elapsed: float) -> float:
    """Return the smoothed rate, in bytes a second, at which callers take bytes."""
    if elapsed <= 0.0:
        return rate
    weight = 1.0 - exp(-elapsed / RATE_SECONDS)
    return rate + weight * (taken / elapsed - rate)


def decide(
    limit: int,
    callers: Iterable[HeldAnswer],
    reserved: int,
    waiting: Iterable[WaitingAnswer],
    rate: float,
    now: float,
) -> Decision:
    """Return which waiting answers are read on, and which callers are disconnected.

    ``reserved`` is the room of the answers that are being read from their endpoints,
    ``rate`` the bytes a second that callers take.
    """
    callers = list(callers)
    queue = sorted(waiting, key=lambda answer: (answer.total, answer.deadline))
    idle = _IdleCallers(callers, now)
    held = sum(each.held for each in callers) + reserved
    buffered = sum(answer.buffered for answer in queue)
    resumed = []
    for answer in queue:
        allowed = limit - needed_room(answer.wanted, limit)
        while held > allowed and _is_too_late(answer, held - allowed, rate, now):
            freed = idle.disconnect_next()
            if not freed:
                break
            held -= freed
        if held > allowed:
            break
        resumed.append(answer.answer)
        held += answer.wanted
        buffered -= answer.buffered
    while held + buffered > limit and (freed := idle.disconnect_next()):
        held -= freed
    return Decision(tuple(resumed), tuple(idle.disconnected))


class _IdleCallers:
    """The callers that have taken nothing for a while, the longest idle first."""

    def __init__(self, callers: Iterable[HeldAnswer], now: float) -> None:
        idle = (
            caller
            for caller in callers
            if caller.held and now - caller.read_at >= IDLE_SECONDS
        )
        self.left = sorted(idle, key=lambda caller: -caller.read_at)
        self.disconnected: list[int] = []

    def disconnect_next(self) -> int:
        """Disconnect the one that is idle for longest; return what it held, or 0."""
        if not self.left:
            return 0
        caller = self.left.pop()
        self.disconnected.append(caller.caller)
        return caller.held


def _is_too_late(answer: WaitingAnswer, excess: int, rate: float, now: float) -> bool:
    """Return whether room for an answer is expected only after its caller gives up."""
    wait = excess / rate if rate > 0.0 else inf
    return wait > answer.deadline - now - TRANSFER_SECONDS
