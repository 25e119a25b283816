"""A configuration with thousands of routes reaches an entry on a slow link.

A confirmed change was not in force within 3 s at the entries with the slowest
links, and an entry that started there never had a configuration at all. The time
limit of a call to the store held for its whole answer, whatever its size: 0.3 s to
0.7 s beside the wait, where 1 MB takes 1.7 s at 5 Mbit/s. What had come was thrown
away and asked for anew, by way of a host that was gone at one of them. The logs that
settled it: "the answer took too long" for the read of the configuration 0.5 s to
0.9 s after the change was written, at entries with such links only, while 220 kB to
580 kB a second came in there.
"""

from asyncio import get_running_loop
from collections.abc import AsyncIterator, Iterator
from typing import Any

import pytest
import pytest_asyncio
from msgspec.json import encode as encode_json
from msgspec.msgpack import encode

from clementinebend_relay.discovery import Announcement
from clementinebend_transport.client_connection import Address
from tests.lib.platform_fleet import ROUTES, Fleet, route
from tests.lib.silent_address import silent_address
from tests.lib.waiting import until
from tests.soak.proxy import FaultProxy

LINK_BYTES_PER_SECOND = 5e6 / 8
CHANGE_WITHIN = 3.0
"""Seconds within which a confirmed change must be in force."""

LARGE_ROUTES = 6_600
"""Routes of a configuration that a slow link carries in 1.7 s."""


def large(*more: dict[str, Any]) -> tuple[dict[str, Any], ...]:
    """Return the usual routes, thousands that nobody calls, and ``more``."""
    idle = (route(f"/idle-{number}/", "safe", "desk") for number in range(LARGE_ROUTES))
    return (*ROUTES, *idle, *more)


@pytest_asyncio.fixture
async def link(fleet: Fleet) -> AsyncIterator[FaultProxy]:
    """Start a store with a small configuration, and a slow link to it."""
    await fleet.start(entries=0)
    made = FaultProxy(fleet.store.port, LINK_BYTES_PER_SECOND)
    await made.start()
    yield made
    made.close()


@pytest.fixture
def silent() -> Iterator[Address]:
    """Give the address of a host that is gone."""
    with silent_address() as address:
        yield address


async def test_an_entry_on_a_slow_link_starts(fleet: Fleet, link: FaultProxy) -> None:
    fleet.configure(1_000_000, large())
    entry = await fleet.add_entry("edge-0", "z0", store=link.port)
    assert (await fleet.call("/safe/x")).ok.status == 200
    assert entry.process.returncode is None


async def test_a_change_late_in_a_wait_is_in_force_in_time(
    fleet: Fleet, link: FaultProxy, silent: Address
) -> None:
    lost = Announcement("side-0#1", "z0", silent.host, silent.port)
    fleet.store.put("gateways", "side-0", encode(lost))
    await fleet.add_entry("edge-0", "z0", store=link.port, change_within=CHANGE_WITHIN)
    await until(lambda: fleet.store.waited("op") > CHANGE_WITHIN / 2 - 0.1)
    fleet.configure(1_000_000, large(route("/new/", "safe", "desk")))
    confirmed_at = get_running_loop().time()

    async def is_served() -> bool:
        return (await fleet.call("/new/x")).ok.status == 200

    await until(is_served)
    assert get_running_loop().time() - confirmed_at < CHANGE_WITHIN


def test_the_large_configuration_takes_the_link_most_of_the_time_allowed() -> None:
    seconds = len(encode_json(large())) / LINK_BYTES_PER_SECOND
    assert 0.5 * CHANGE_WITHIN < seconds < 0.7 * CHANGE_WITHIN
