"""Which parts of prompts are named where an endpoint ends."""

from logging import INFO

import pytest

from clementinebend_relay.prompt_parts import (
    MAX_NAME_LENGTH,
    MAX_SHARED_PARTS,
    logged_names,
    shared_parts,
)
from clementinebend_relay.quarantine.end_detector import MAX_PARTS_LOGGED
from clementinebend_routing.sessions import PromptPart
from tests.unit.relay.test_endpoint_ends import DetectorRig, rig, wait_for_checks

__all__ = ["rig"]


def test_the_last_part_belongs_to_the_request() -> None:
    parts = [PromptPart(name, 10) for name in ("a", "b", "own")]
    assert shared_parts(parts) == ("a", "b")
    assert shared_parts(parts[:1]) == ()
    assert shared_parts(()) == ()


def test_long_and_repeated_lists_of_parts_are_bounded() -> None:
    parts = [PromptPart(str(number % 500), 10) for number in range(2_000)]
    assert len(shared_parts(parts)) == MAX_SHARED_PARTS
    assert shared_parts([PromptPart("a", 1)] * 9) == ("a",)
    assert logged_names(["x" * 10_000]) == ["x" * MAX_NAME_LENGTH]


async def test_the_line_on_an_end_names_the_parts_of_runs_without_an_event(
    rig: DetectorRig, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against ends whose common part nobody can find in the logs."""
    many = tuple(f"m{number}" for number in range(MAX_PARTS_LOGGED))
    with caplog.at_level(INFO, "clementinebend_relay"):
        rig.detector.on_broken(rig.state, "1", 99.9, None, ("shared", "part"))
        rig.detector.on_broken(rig.state, "2", 99.9, None, ("part", *many))
        rig.detector.on_broken(rig.state, "3", 99.0, 99.2, ("streaming",))
        await wait_for_checks(rig)
    (line,) = [each for each in caplog.records if each.message == "endpoint ended"]
    named = line.__dict__["parts"]
    assert named[0] == "part"
    assert "streaming" not in named
    assert len(named) == MAX_PARTS_LOGGED
