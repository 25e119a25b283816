"""The table of streams' origins: bounds, conflicts and expiry."""

import pytest

from clementinebend_relay.stream_origins import (
    MAX_NAME_LENGTH,
    MAX_STREAM_SECONDS,
    RESUME_SLACK_SECONDS,
    OriginTable,
    StreamKey,
    StreamOrigin,
)
from tests.unit.relay.simulated_fleet import Clock

KEY = StreamKey("desk", "r1")
ORIGIN = StreamOrigin("pool", "v1")
OTHER = StreamOrigin("pool", "v1.1")
SECONDS = 10.0


def origin_of(table: OriginTable, key: StreamKey = KEY) -> StreamOrigin | None:
    """Return the origin that a table knows for certain."""
    known = table.get(key)
    return None if known is None else known.origin


def test_an_origin_is_known_to_its_team_alone() -> None:
    table = OriginTable(Clock())
    assert table.put(KEY, ORIGIN, SECONDS, "a")
    assert origin_of(table) == ORIGIN
    assert table.get(StreamKey("other", "r1")) is None
    assert table.get(StreamKey("desk", "r2")) is None


def test_an_origin_is_forgotten_after_its_time() -> None:
    clock = Clock()
    table = OriginTable(clock)
    table.put(KEY, ORIGIN, SECONDS, "a")
    clock.now += SECONDS - 0.1
    assert origin_of(table) == ORIGIN
    clock.now += 0.2
    assert table.get(KEY) is None
    table.put(StreamKey("desk", "r2"), ORIGIN, SECONDS, "a")
    assert table.count == 1


def test_a_repeated_origin_is_kept_for_the_longer_time() -> None:
    clock = Clock()
    table = OriginTable(clock)
    table.put(KEY, ORIGIN, SECONDS, "a")
    clock.now += 6.0
    table.put(KEY, ORIGIN, SECONDS, "b")
    table.put(KEY, ORIGIN, 1.0, "c")
    clock.now += 6.0
    assert origin_of(table) == ORIGIN
    assert table.count == 1


def test_an_id_that_began_two_streams_has_no_origin_for_good() -> None:
    """Guards against a stream that goes on where another one of its id began."""
    table = OriginTable(Clock())
    table.put(KEY, ORIGIN, SECONDS, "a")
    table.put(KEY, OTHER, SECONDS, "b")
    table.put(KEY, ORIGIN, SECONDS, "a")
    table.put(KEY, OTHER, SECONDS, "b")
    assert table.get(KEY) is not None
    assert origin_of(table) is None


@pytest.mark.parametrize(
    ("key", "origin", "seconds"),
    [
        (StreamKey("desk", ""), ORIGIN, SECONDS),
        (StreamKey("desk", "x" * (MAX_NAME_LENGTH + 1)), ORIGIN, SECONDS),
        (StreamKey("x" * (MAX_NAME_LENGTH + 1), "r1"), ORIGIN, SECONDS),
        (KEY, StreamOrigin("pool", ""), SECONDS),
        (KEY, StreamOrigin("pool", "x" * (MAX_NAME_LENGTH + 1)), SECONDS),
        (KEY, ORIGIN, 0.0),
        (KEY, ORIGIN, -1.0),
        (KEY, ORIGIN, float("nan")),
        (KEY, ORIGIN, float("inf")),
        (KEY, ORIGIN, MAX_STREAM_SECONDS + RESUME_SLACK_SECONDS + 1.0),
    ],
)
def test_what_cannot_be_an_origin_is_not_kept(
    key: StreamKey, origin: StreamOrigin, seconds: float
) -> None:
    table = OriginTable(Clock())
    assert not table.put(key, origin, seconds, "a")
    assert table.count == 0
    assert not list(table.items())


def test_an_id_may_hold_foreign_characters() -> None:
    table = OriginTable(Clock())
    key = StreamKey("équipe", "\x00\xff 字")
    assert table.put(key, ORIGIN, SECONDS, "a")
    assert origin_of(table, key) == ORIGIN


def test_a_team_that_begins_many_streams_displaces_only_its_own() -> None:
    """Guards against a flood of IDs that pushes out the streams of other teams."""
    table = OriginTable(Clock(), max_streams=100)
    for number in range(40):
        table.put(StreamKey("small", f"s{number}"), ORIGIN, SECONDS, "a")
    for number in range(1000):
        table.put(StreamKey("flood", f"f{number}"), ORIGIN, SECONDS, "a")
    assert table.count == 100
    small = [origin_of(table, StreamKey("small", f"s{each}")) for each in range(40)]
    assert small == [ORIGIN] * 40
    assert origin_of(table, StreamKey("flood", "f999")) == ORIGIN
    assert table.get(StreamKey("flood", "f0")) is None
