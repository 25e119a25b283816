"""What proves that an endpoint has ended, and which runs were there."""

from asyncio import Server, StreamReader, StreamWriter, start_server
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

import pytest

from clementinebend_relay.end_detector import (
    LATE_DATA_SECONDS,
    UNCONFIRMED_SECONDS,
    EndDetector,
    EndedRun,
)
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.quarantine import Quarantine
from clementinebend_transport.client_connection import Address
from tests.lib.processes import free_port
from tests.lib.waiting import until


class Watched(NamedTuple):
    """An endpoint's address, the watch over it, and what it has told."""

    state: EndpointState
    ends: EndDetector
    told: list[EndedRun]
    set_clock: Callable[[float], None]

    @property
    def boot(self) -> str:
        """The endpoint's boot."""
        return boot_name(self.state.endpoint)

    def fingerprints(self) -> set[str]:
        """Return the requests that are told of."""
        return {each.fingerprint for each in self.told}


@pytest.fixture
async def watched() -> AsyncIterator[Watched]:
    """Watch an endpoint at an address where nobody listens yet, from 100 s on."""
    times = [100.0]
    address = Address("127.0.0.1", free_port())
    endpoint = Endpoint("i-1", "pool", address, "z", 4, False)
    state = EndpointState(endpoint, 0.0)
    told: list[EndedRun] = []

    def clock() -> float:
        return times[0]

    def set_clock(at: float) -> None:
        times[0] = at

    quarantine = Quarantine(clock)
    ends = EndDetector(clock, quarantine.running, lambda _, runs: told.extend(runs))
    yield Watched(state, ends, told, set_clock)


async def listen(watched: Watched) -> Server:
    """Listen at the endpoint's address, as it does while it lives."""

    async def take(reader: StreamReader, writer: StreamWriter) -> None:
        writer.close()

    return await start_server(take, *watched.state.endpoint.address)


async def looked(watched: Watched) -> None:
    """Wait until the watch has made its looks."""
    await until(lambda: all(b.task is None for b in watched.ends.broken.values()))


async def test_a_refused_connection_proves_the_end(watched: Watched) -> None:
    watched.ends.on_broken(watched.state, "a", 99.0)
    await looked(watched)
    assert watched.fingerprints() == {"a"}


async def test_a_connection_that_broke_off_alone_proves_nothing(
    watched: Watched,
) -> None:
    server = await listen(watched)
    watched.ends.on_broken(watched.state, "a", 99.0)
    await looked(watched)
    assert not watched.told
    server.close()


async def test_what_broke_off_well_before_the_end_is_not_told(watched: Watched) -> None:
    server = await listen(watched)
    watched.ends.on_broken(watched.state, "reset before", 99.0)
    await looked(watched)
    server.close()
    watched.set_clock(102.0)
    watched.ends.on_broken(watched.state, "cause", 101.9)
    await looked(watched)
    assert watched.fingerprints() == {"cause"}


async def test_another_boot_proves_the_end_of_what_was_there_first(
    watched: Watched,
) -> None:
    """Something in front of the endpoint takes connections all the while."""
    server = await listen(watched)
    watched.state.on_heard(99.5)
    watched.ends.on_broken(watched.state, "cause", 99.0)
    await looked(watched)
    watched.set_clock(101.0)
    watched.ends.on_broken(watched.state, "sent when it had ended", 100.9)
    await looked(watched)
    watched.ends.on_gone(watched.state.endpoint)
    assert watched.fingerprints() == {"cause"}
    assert watched.told[0].run.ended_at == 100.0
    server.close()


async def test_calls_to_an_endpoint_that_may_have_ended_before_are_not_told(
    watched: Watched,
) -> None:
    """An entry that has just started never heard from it; its connections are taken."""
    server = await listen(watched)
    watched.ends.on_broken(watched.state, "harmless", 99.0)
    await looked(watched)
    watched.ends.on_gone(watched.state.endpoint)
    assert not watched.told
    server.close()


async def test_an_endpoint_that_answers_later_had_not_ended(watched: Watched) -> None:
    server = await listen(watched)
    watched.ends.on_broken(watched.state, "a", 99.0)
    watched.ends.on_alive(watched.boot)
    assert watched.boot in watched.ends.broken
    watched.set_clock(100.0 + 2 * LATE_DATA_SECONDS)
    watched.ends.on_alive(watched.boot)
    watched.ends.on_gone(watched.state.endpoint)
    assert not watched.told
    server.close()


async def test_an_end_that_is_expected_or_proved_too_late_is_not_told(
    watched: Watched,
) -> None:
    server = await listen(watched)
    watched.ends.on_broken(watched.state, "a", 99.0)
    await looked(watched)
    watched.set_clock(100.0 + 2 * UNCONFIRMED_SECONDS)
    watched.state.on_leaving(100.0)
    watched.ends.on_broken(watched.state, "b", 99.0)
    assert not watched.told
    server.close()


async def test_broken_runs_count_as_in_progress_until_the_first_check(
    watched: Watched,
) -> None:
    watched.ends.on_broken(watched.state, "a", 99.0)
    broken = watched.ends.broken[watched.boot]
    assert broken.held_runs.pop_all()  # what counts them has been entered
    await looked(watched)
