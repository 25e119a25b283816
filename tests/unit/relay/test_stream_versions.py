"""Streams over two versions of endpoints' software, whole entries in virtual time."""

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from tests.lib.streams_seen import (
    FEWEST_RESUMED,
    LEAST_SHARE,
    StreamSeen,
    Verdict,
    verdict,
)
from tests.unit.relay.version_world import Disturbance, VersionWorld, play

SIZES = [5, 30]
STREAMS = 48
SEED = 7
BACK_SECONDS = 0.4


def run(
    entries: int,
    disturbance: Disturbance,
    loss: float = 0.0,
    streams: int = STREAMS,
    versions: tuple[str, ...] = ("v1", "v1.1"),
) -> Verdict:
    """Return what streams come to with a disturbance."""

    async def main() -> list[StreamSeen]:
        world = VersionWorld(entries, number=SEED, loss=loss, versions=versions)
        return await play(world, disturbance, streams)

    seen = run_virtually(main())
    assert all(stream.is_in_order for stream in seen)
    return verdict(seen)


@pytest.mark.parametrize("entries", SIZES)
def test_no_stream_goes_on_at_another_version_within_its_answer(entries: int) -> None:
    """Guards against streams that hold events of two versions (ORDER)."""
    result = run(entries, Disturbance())
    assert result.keeps_order, result


@pytest.mark.parametrize("entries", SIZES)
@pytest.mark.parametrize(
    "disturbance",
    [
        Disturbance(killed=1),
        Disturbance(killed=2),
        Disturbance(killed=1, back_after=0.4, second_after=0.2),
        Disturbance(killed=2, ends=False),
    ],
)
def test_no_stream_is_resumed_at_another_version(
    entries: int, disturbance: Disturbance
) -> None:
    """Guards against streams of two versions over a client's tries (ORDER, LOST)."""
    result = run(entries, disturbance, streams=STREAMS * entries // 5)
    assert result.keeps_order, result
    assert result.loses_few, result


@pytest.mark.parametrize("entries", SIZES)
@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_streams_go_on_after_all_entries_were_killed_at_once(
    entries: int, loss: float
) -> None:
    """Guards against origins that are lost with the entries: gateways keep them."""

    async def main() -> list[StreamSeen]:
        world = VersionWorld(entries, number=SEED, loss=loss)
        disturbance = Disturbance(killed=entries, back_after=BACK_SECONDS)
        return await play(world, disturbance, STREAMS)

    seen = run_virtually(main())
    tries = [each for stream in seen for each in stream.tries if each.is_resumption]
    assert len(tries) >= FEWEST_RESUMED
    assert sum(each.events > 0 for each in tries) >= LEAST_SHARE * len(tries)
    assert not any(stream.is_mixed for stream in seen)
