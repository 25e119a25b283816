"""What several tests with real programs begin with."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest_asyncio

from tests.lib.platform_fleet import Fleet


@pytest_asyncio.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    """Give a fleet on the users' platform that has not been started yet."""
    made = Fleet(tmp_path)
    try:
        yield made
    finally:
        await made.stop()
