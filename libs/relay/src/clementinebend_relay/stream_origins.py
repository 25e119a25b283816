"""Where streams began: the service and the version of the endpoints' software.

What endpoints of different software versions write doesn't fit together, so a stream
may be resumed only at the version that began it. Pure data, bounded by age and number.
"""

from collections.abc import Callable, Iterator
from math import inf
from typing import NamedTuple

MAX_STREAM_SECONDS = 300.0
"""Longest time in seconds for which an origin is kept."""

RESUME_SLACK_SECONDS = 5.0
"""Seconds for which an origin is kept beyond the time limit of its stream. Processes
measure the time limit from different moments."""

MAX_STREAMS = 50_000
"""Maximum number of streams whose origin is kept: those that 500 new streams a second
leave behind in 100 s. They need 15 MB."""

MAX_NAME_LENGTH = 200
"""Longest ID of a request, team, service or version, in characters, that is kept."""

SWEEP_INTERVAL = 5.0
"""Seconds between two removals of all expired origins."""


class StreamOrigin(NamedTuple):
    """What a stream began at."""

    service: str
    software_version: str


class StreamKey(NamedTuple):
    """Identifies a stream: the caller's request that brought its first event."""

    team: str
    request_id: str


class KnownOrigin(NamedTuple):
    """The origin of a stream, as known to a process.

    ``origin`` is None if two streams of one key began differently. ``since`` is when it
    became known, ``until`` when it is forgotten. ``source`` is the boot that told it.
    """

    origin: StreamOrigin | None
    since: float
    until: float
    source: str


class OriginTable:
    """The origins of streams that may still be resumed."""

    def __init__(
        self, clock: Callable[[], float], max_streams: int = MAX_STREAMS
    ) -> None:
        self.clock = clock
        self.max_streams = max_streams
        self.by_team: dict[str, dict[str, KnownOrigin]] = {}
        self.count = 0
        self.next_sweep = -inf

    def get(self, key: StreamKey) -> KnownOrigin | None:
        """Return the origin of a stream, None if it isn't known."""
        known = self.by_team.get(key.team, {}).get(key.request_id)
        return None if known is None or known.until <= self.clock() else known

    def put(
        self, key: StreamKey, origin: StreamOrigin, seconds: float, source: str
    ) -> bool:
        """Keep an origin for some seconds; return whether it is valid.

        An origin that contradicts the known one makes the origin unknown for good.
        """
        if not _is_valid(key, origin, seconds):
            return False
        now = self.clock()
        self._sweep(now)
        known = self.get(key)
        entry = KnownOrigin(origin, now, now + seconds, source)
        if known is not None:
            is_same = known.origin == origin
            until = max(known.until, entry.until)
            entry = known._replace(origin=origin if is_same else None, until=until)
        streams = self.by_team.setdefault(key.team, {})
        self.count += key.request_id not in streams
        streams[key.request_id] = entry
        if self.count > self.max_streams:
            self._evict()
        return True

    def items(self) -> Iterator[tuple[StreamKey, KnownOrigin]]:
        """Yield all origins that have not expired."""
        now = self.clock()
        for team, streams in self.by_team.items():
            for request_id, known in streams.items():
                if known.until > now:
                    yield StreamKey(team, request_id), known

    def _evict(self) -> None:
        """Drop the oldest origin of the team with the most of them.

        A team with many streams then doesn't displace those of others.
        """
        streams = max(self.by_team.values(), key=len)
        del streams[next(iter(streams))]
        self.count -= 1

    def _sweep(self, now: float) -> None:
        if now < self.next_sweep:
            return
        self.next_sweep = now + SWEEP_INTERVAL
        kept = {
            team: {name: known for name, known in streams.items() if known.until > now}
            for team, streams in self.by_team.items()
        }
        self.by_team = {team: streams for team, streams in kept.items() if streams}
        self.count = sum(map(len, self.by_team.values()))


def _is_valid(key: StreamKey, origin: StreamOrigin, seconds: float) -> bool:
    """Return whether an origin has usable names and a usable time."""
    names = (*key, *origin)
    has_names = key.request_id != "" and origin.software_version != ""
    has_time = 0.0 < seconds <= MAX_STREAM_SECONDS + RESUME_SLACK_SECONDS
    return has_names and has_time and max(map(len, names)) <= MAX_NAME_LENGTH
