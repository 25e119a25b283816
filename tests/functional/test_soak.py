"""A short run of the soak; ``python -m tests.soak`` plays more seeds."""

from pathlib import Path

import pytest

from tests.soak.run import Soak


@pytest.mark.parametrize("seed", [1, 2])
async def test_promises_hold_under_faults(seed: int, tmp_path: Path) -> None:
    assert await Soak(seed, tmp_path).run() == []
