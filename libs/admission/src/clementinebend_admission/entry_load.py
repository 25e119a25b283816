"""Whether an entry gets more than it can carry. Pure functions.

Load pattern: one client sends ten times as many calls as the others, and all of them
reach one entry. Its receiving link is full, or its event loop runs late; calls wait
there while the other entries have spare capacity.

Times are in seconds on a monotonic clock, rates in bytes a second.
"""

from typing import NamedTuple

USABLE_LOOP_DELAY = 0.03
"""Mean delay in seconds of the event loop at which an entry counts as fully used: calls
wait 0.015 s for queue reports, so most reports come too late then. Entries with spare
capacity stay below 0.006 s."""

SMOOTHING = 0.4
"""Weight of the newest sample in the moving average."""

MAX_FRACTION = 2.0
"""Upper limit of a sampled fraction. After one extreme sample at an entry with spare
capacity, the average is below ``ENTER`` again before ``ENTER_SECONDS`` have passed."""

ENTER, LEAVE = 0.85, 0.6
"""Fractions in use from which an entry is overloaded, and below which it no longer is.
A full link shows 0.9 and more, since other traffic and pauses take the rest."""

ENTER_SECONDS, LEAVE_SECONDS = 0.2, 0.5
"""Seconds for which each threshold must hold until the state changes."""

FREEZE_SECONDS = 1.0
"""Delay of a sample beyond which the process was frozen rather than busy."""


class EntryCapacity(NamedTuple):
    """What an entry can use; None is unlimited.

    ``link_rate`` is in bytes a second in each direction, ``memory`` in bytes,
    ``descriptors`` the number of open files and sockets.
    """

    link_rate: float | None = None
    memory: int | None = None
    descriptors: int | None = None


class LoadSample(NamedTuple):
    """What was measured since the previous sample; ``memory`` is in bytes."""

    at: float
    loop_delay: float
    received_rate: float
    sent_rate: float
    memory: int = 0
    descriptors: int = 0


class Utilization(NamedTuple):
    """What is in use, as fractions of what the entry can use."""

    loop: float = 0.0
    link: float = 0.0
    memory: float = 0.0
    descriptors: float = 0.0

    @property
    def highest(self) -> float:
        """The fraction of the scarcest resource."""
        return max(self)


class EntryLoad(NamedTuple):
    """The smoothed utilization, and whether the entry is overloaded.

    ``crossed_at`` is when the utilization passed the threshold of a change that is not
    made yet. ``is_first`` is set until a sample has been used, ``is_late`` if the
    last sample came as late as after a freeze.
    """

    utilization: Utilization = Utilization()
    is_overloaded: bool = False
    crossed_at: float | None = None
    is_first: bool = True
    is_late: bool = False

    @property
    def is_saturated(self) -> bool:
        """Whether the entry is overloaded, or will be if the utilization stays."""
        return self.is_overloaded or self.crossed_at is not None


def utilization(sample: LoadSample, capacity: EntryCapacity) -> Utilization:
    """Return what one sample shows, not smoothed."""
    rate = max(sample.received_rate, sample.sent_rate)
    return Utilization(
        min(MAX_FRACTION, max(0.0, sample.loop_delay) / USABLE_LOOP_DELAY),
        _fraction(rate, capacity.link_rate),
        _fraction(sample.memory, capacity.memory),
        _fraction(sample.descriptors, capacity.descriptors),
    )


def on_sample(
    load: EntryLoad, sample: LoadSample, capacity: EntryCapacity
) -> EntryLoad:
    """Return the state after a sample.

    The first sample after a freeze is discarded, as the gap is not load.
    """
    is_late = sample.loop_delay > FREEZE_SECONDS
    if is_late and not load.is_late:
        return load._replace(crossed_at=None, is_late=True)
    newest = utilization(sample, capacity)
    if load.is_first:
        newest = Utilization(*(min(ENTER, each) for each in newest))
    smoothed = newest if load.is_first else _smoothed(load.utilization, newest)
    load = load._replace(utilization=smoothed, is_first=False, is_late=is_late)
    return _with_state(load, sample.at)


def _with_state(load: EntryLoad, now: float) -> EntryLoad:
    """Change the state once the utilization has been past its threshold for long."""
    highest = load.utilization.highest
    is_past = highest < LEAVE if load.is_overloaded else highest >= ENTER
    if not is_past:
        return load._replace(crossed_at=None)
    crossed_at = now if load.crossed_at is None else load.crossed_at
    hold = LEAVE_SECONDS if load.is_overloaded else ENTER_SECONDS
    if now - crossed_at < hold:
        return load._replace(crossed_at=crossed_at)
    return load._replace(is_overloaded=not load.is_overloaded, crossed_at=None)


def _smoothed(before: Utilization, newest: Utilization) -> Utilization:
    pairs = zip(before, newest, strict=True)
    return Utilization(*(old + SMOOTHING * (new - old) for old, new in pairs))


def _fraction(used: float, capacity: float | None) -> float:
    if not capacity:
        return 0.0
    return min(MAX_FRACTION, max(0.0, used) / capacity)
