"""Suspected requests run at endpoints apart from each other."""

from asyncio import get_running_loop, sleep
from collections.abc import Collection
from typing import NamedTuple

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_platform.records import PlatformRecords
from clementinebend_relay.cold_endpoints import ColdEndpoints
from clementinebend_relay.discovery import Directory
from clementinebend_relay.endpoint_limits import EndpointLimits
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.models import Endpoint, RouteKind
from clementinebend_relay.quarantine.state import Quarantine
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_relay.survey import Surveyor
from clementinebend_routing.cold_start import ColdBound, PermitLimit
from clementinebend_routing.fatal_runs import FatalRun
from clementinebend_routing.sessions import SessionTracker
from clementinebend_transport.client_connection import Address
from tests.unit.relay.calls import SERVICE, admitted, route

PAIRS = 200
PLACED_CALLS = 20
TURN_SECONDS = 0.5


class Suspects(NamedTuple):
    """The parts of an entry that place suspected requests, and their evidence."""

    quarantine: Quarantine
    surveyor: Surveyor


def entry_of(endpoints: int) -> Suspects:
    """Return an entry that knows some endpoints, whose queue keepers are silent."""
    clock = get_running_loop().time
    directory = Directory()
    cold = ColdEndpoints("entry-0", directory, clock)
    cold.configure([SERVICE], ColdBound(1.5, 5.0))
    table = EndpointTable(PlatformRecords(), cold, clock)
    for number in range(endpoints):
        name = f"i-{number}"
        address = Address("10.1.0.1", number)
        known = Endpoint(name, SERVICE.name, address, "z", 4, False)
        table.states[name] = EndpointState(known, clock() - 60.0)
    probes = QueueProbes(directory, directory, lambda message, to: None, clock)
    limits = EndpointLimits(
        "entry-0#1", table.states, directory, lambda *_: None, probes.notify, clock
    )
    quarantine = Quarantine(clock)
    surveyor = Surveyor(
        "z",
        table,
        SessionTracker(),
        probes,
        limits,
        lambda: 1,
        quarantine.confinement,
        clock,
    )
    return Suspects(quarantine, surveyor)


def suspect(quarantine: Quarantine, fingerprint: str) -> None:
    """Record two ends in series under a request."""
    for number in range(2):
        run = FatalRun(f"gone-{number}/", 1.0 * number, number + 0.5)
        quarantine.on_run_ended(fingerprint, run)


async def placed_at(suspects: Suspects, fingerprint: str) -> str | None:
    """Return the endpoint to which a call of a request is sent, if any."""
    call = admitted(route(RouteKind.STREAM))._replace(fingerprint=fingerprint)
    placement = (await suspects.surveyor.survey(call, ())).placement
    return None if placement is None else placement.state.endpoint.name


async def place(fingerprints: Collection[str], endpoints: int) -> list[str | None]:
    """Return where the calls of requests suspected by the same ends are sent."""
    suspects = entry_of(endpoints)
    for each in fingerprints:
        suspect(suspects.quarantine, each)
    return [await placed_at(suspects, each) for each in fingerprints]


async def count_shared(endpoints: int) -> int:
    """Return how many of ``PAIRS`` pairs of suspects share an endpoint."""
    shared = 0
    for number in range(PAIRS):
        names = [f"{2 * number + place:024x}" for place in range(2)]
        first, second = await place(names, endpoints)
        shared += first == second
    return shared


@pytest.mark.parametrize("endpoints", [2, 3, 6, 9])
def test_two_suspects_are_sent_to_different_endpoints(endpoints: int) -> None:
    """Guards against a suspect whose runs end together with those of another one."""
    shared = run_virtually(count_shared(endpoints))
    assert shared == 0, f"{shared} of {PAIRS} pairs share one of {endpoints}"


def test_two_suspects_do_not_run_at_once_at_the_only_endpoint() -> None:
    """Guards against a suspect whose runs end together with those of another one.

    The second one waits for its turn, or finds no endpoint, while the first runs.
    """
    first, second = (f"{number:024x}" for number in range(2))

    async def main() -> bool:
        suspects = entry_of(1)
        quarantine = suspects.quarantine
        suspect(quarantine, first)
        suspect(quarantine, second)
        with quarantine.runs.running(first):
            until = get_running_loop().time() + TURN_SECONDS
            refusal = await quarantine.wait_for_turn(second, until)
            return refusal is None and await placed_at(suspects, second) is not None

    assert not run_virtually(main()), "both run at the only endpoint"


def test_entries_send_a_suspect_to_the_same_endpoint() -> None:
    """Guards against few endpoints lost at each entry instead of at all of them."""
    names = [f"{number:024x}" for number in range(3)]

    async def main() -> None:
        found = [await place(order, 6) for order in (names, names[::-1])]
        assert found[0] == found[1][::-1]

    run_virtually(main())


def test_a_suspect_alone_is_sent_to_the_only_endpoint() -> None:
    """Guards against suspects that are kept waiting though no other one runs."""
    assert run_virtually(place(["0" * 24], 1)) == ["i-0"]


def end_once(quarantine: Quarantine, fingerprint: str) -> None:
    """Record one end under a request, half a second ago."""
    now = get_running_loop().time()
    run = FatalRun("gone-0/", now - 1.0, now - 0.5)
    quarantine.on_run_ended(fingerprint, run)


async def places_after_one_end(suspects: Suspects, fingerprint: str) -> set[str | None]:
    """Return where calls of a request go after one end under it."""
    end_once(suspects.quarantine, fingerprint)
    return {await placed_at(suspects, fingerprint) for _ in range(PLACED_CALLS)}


def test_after_one_end_all_calls_of_a_request_go_to_one_endpoint() -> None:
    """Guards against a fatal request that ends several endpoints at a time."""

    async def main() -> None:
        await sleep(60.0)
        assert len(await places_after_one_end(entry_of(9), "0" * 24)) == 1

    run_virtually(main())


def test_an_endpoint_that_was_added_since_the_last_end_is_passed_over() -> None:
    """Guards against entries that choose differently while they learn of it."""

    async def main() -> None:
        await sleep(60.0)
        suspects = entry_of(2)
        (chosen,) = await places_after_one_end(suspects, "0" * 24)
        states = suspects.surveyor.endpoints.states
        states[chosen or ""].available_since = get_running_loop().time()
        assert await placed_at(suspects, "0" * 24) not in (None, chosen)

    run_virtually(main())


def test_one_end_binds_no_call_to_an_endpoint_that_needs_permits() -> None:
    """Guards against calls that wait for a cold endpoint while others are free."""

    async def main() -> None:
        await sleep(60.0)
        suspects = entry_of(9)
        (chosen,) = await places_after_one_end(suspects, "0" * 24)
        surveyor = suspects.surveyor

        def permit_limit(endpoint: Endpoint) -> PermitLimit | None:
            return PermitLimit(1, 1) if endpoint.name == chosen else None

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(surveyor, "_permit_limit", permit_limit)
            found = {await placed_at(suspects, "0" * 24) for _ in range(PLACED_CALLS)}
        assert len(found) > 1

    run_virtually(main())
