"""What several tests with real programs begin with."""

from collections.abc import AsyncIterator
from itertools import count
from pathlib import Path

import pytest_asyncio

from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_fleet import Fleet


@pytest_asyncio.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    """Give a fleet on the users' platform that has not been started yet.

    Its engines are numbered from 1: sessions go to engines by their names.
    """
    EngineStandin.numbers = count(1)
    made = Fleet(tmp_path)
    try:
        yield made
    finally:
        await made.stop()
