"""When an overloaded entry leaves the load balancer's rotation, and returns. No I/O.

At least half of a zone's entries stay in rotation. Entries decide by themselves, from
what the others announce. Each ranks by its utilization as of when it became overloaded:
a rank that changed later would be known to some entries only, and two of them could
both consider themselves first. An entry that is overloaded waits before it leaves, so
that its announcement is known by then.

Times are in seconds on a monotonic clock.
"""

from collections.abc import Iterable, Sequence
from math import inf
from typing import NamedTuple

OVERLOADED_SECONDS = 0.5
"""Seconds for which an entry must be overloaded before it leaves. Its announcement is
sent several times in that time."""

MIN_BACKOFF, MAX_BACKOFF = 2.0, 16.0
"""Bounds of the seconds for which an entry stays out at least."""

MAX_ABSENCE = 30.0
"""Longest absence in seconds of an entry that is not overloaded while the load under
which it left goes on at others, or another entry in rotation is overloaded. Each return
costs callers some seconds under overload, so it is several times that; it is bounded,
as the load may be distributed differently by then."""

REDEPARTURE_SECONDS = 15.0
"""A departure within so many seconds of a return doubles the backoff. Clients come back
gradually over this time, as open connections stay with their entry."""


class EntryState(NamedTuple):
    """What is known of another entry of the zone.

    ``rank`` is its utilization as of when it became overloaded.
    """

    name: str
    rank: float
    is_overloaded: bool
    is_out: bool


class Rotation(NamedTuple):
    """Whether this entry is out of rotation, since when and for how long at least.

    ``overloaded_at`` is when it became overloaded, and ``rank`` its utilization then.
    ``changed_at`` is when it last left or returned.
    """

    is_out: bool = False
    changed_at: float = -inf
    backoff: float = 0.0
    overloaded_at: float | None = None
    rank: float = 0.0


def max_out(entries: int) -> int:
    """Return how many of a zone's entries may be out of rotation at once."""
    return max(0, (entries - 1) // 2)


def on_load(
    rotation: Rotation,
    name: str,
    is_overloaded: bool,
    utilization: float,
    entries: int,
    others: Sequence[EntryState],
    load_persists: bool,
    now: float,
) -> Rotation:
    """Return the rotation of the entry ``name`` after a sample of its load.

    ``entries`` is the number of the zone's entries including this one, ``others`` are
    those that are overloaded or out as far as this one knows. ``load_persists`` tells
    whether the load under which it left is known to go on.
    """
    rotation = _with_rank(rotation, is_overloaded, utilization, now)
    with_room = entries - 1 - len(others)
    if rotation.is_out:
        stays = is_overloaded or _stays_for_others(entries, others, load_persists)
        return _out(rotation, name, is_overloaded, stays, max_out(entries), others, now)
    if rotation.overloaded_at is None:
        return rotation
    if now - rotation.overloaded_at < OVERLOADED_SECONDS:
        return rotation
    if with_room <= 0 or _before(rotation, name, others) >= max_out(entries):
        return rotation
    backoff = MIN_BACKOFF
    if now - rotation.changed_at < REDEPARTURE_SECONDS:
        backoff = min(MAX_BACKOFF, max(MIN_BACKOFF, 2 * rotation.backoff))
    return rotation._replace(is_out=True, changed_at=now, backoff=backoff)


def _stays_for_others(
    entries: int, others: Sequence[EntryState], load_persists: bool
) -> bool:
    """Return whether an entry that is not overloaded stays out beyond its backoff.

    It does so only while the others can carry its load, for one of two reasons. The
    load is known to persist; or an overloaded entry in rotation may have taken it over,
    and its answers about it are lost on a saturated link. The second one does not hold
    once ``max_out`` entries are out: that entry can only leave if this one returns.
    """
    overloaded_in_rotation = sum(not other.is_out for other in others)
    if entries - 1 - len(others) <= overloaded_in_rotation:
        return False
    out = 1 + sum(other.is_out for other in others)
    return load_persists or (overloaded_in_rotation > 0 and out < max_out(entries))


def _with_rank(
    rotation: Rotation, is_overloaded: bool, utilization: float, now: float
) -> Rotation:
    """Fix the rank as the entry becomes overloaded; keep it until it has returned."""
    if is_overloaded and rotation.overloaded_at is None:
        rank = rotation.rank if rotation.is_out else utilization
        return rotation._replace(overloaded_at=now, rank=rank)
    if not is_overloaded and rotation.overloaded_at is not None:
        return rotation._replace(overloaded_at=None)
    return rotation


def _out(
    rotation: Rotation,
    name: str,
    is_overloaded: bool,
    stays: bool,
    limit: int,
    others: Iterable[EntryState],
    now: float,
) -> Rotation:
    """Return to rotation after the backoff, or at once if too many entries are out.

    The latter happens if announcements were lost, or an entry of the zone has ended.
    An entry that ``stays`` does so beyond the backoff.
    """
    own = (rotation.rank, name)
    out_before = sum(
        other.is_out and (other.rank, other.name) > own for other in others
    )
    elapsed = now - rotation.changed_at
    longest = inf if is_overloaded else MAX_ABSENCE
    is_due = elapsed >= rotation.backoff and not (stays and elapsed < longest)
    if not is_due and out_before < limit:
        return rotation
    overloaded_at = now if is_overloaded else None
    return rotation._replace(is_out=False, changed_at=now, overloaded_at=overloaded_at)


def _before(rotation: Rotation, name: str, others: Iterable[EntryState]) -> int:
    """Return how many other entries are out, or leave before this one."""
    own = (rotation.rank, name)
    return sum(
        other.is_out or (other.is_overloaded and (other.rank, other.name) > own)
        for other in others
    )
