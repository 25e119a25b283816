"""The version that began a stream overrides whatever else narrows the choice."""

from typing import Any

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.admission import Admitted
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.models import Endpoint, RouteKind
from clementinebend_relay.process import RelayProcess
from clementinebend_relay.quarantine.confinement import Confinement
from clementinebend_relay.stream_origins import StreamOrigin
from clementinebend_relay.survey import Survey
from clementinebend_routing.endpoint_queue import QueueReport
from clementinebend_routing.outliers import Health
from clementinebend_routing.request_limits import RequestLimit
from clementinebend_routing.sessions import PromptPart
from tests.unit.relay import calls
from tests.unit.relay.version_world import VersionWorld

ENDPOINTS = 8
SURVEYS = 20
PARTS = (PromptPart("a", 60), PromptPart("b", 40))


def states_of(entry: RelayProcess, version: str) -> list[EndpointState]:
    """Return the endpoints of a version as an entry knows them."""
    return [
        state
        for state in entry.endpoints.states.values()
        if state.endpoint.software_version == version
    ]


def bound_call(number: int = 0, version: str = "v1") -> Admitted:
    """Return a call of a session of its own, bound to a version."""
    call = calls.CALL._replace(
        request_id=f"r{number}", parts=(*PARTS, PromptPart(f"p{number}", 90))
    )
    admitted = calls.admitted(calls.route(RouteKind.STREAM), call)
    origin = StreamOrigin("pool", version)
    return admitted._replace(origin=origin, fingerprint=f"f{number}")


def chosen(disturb: Any, tried: tuple[str, ...] = ()) -> set[str]:
    """Return the versions chosen for calls bound to v1, after a disturbance.

    An empty text stands for no endpoint.
    """

    async def main() -> set[str]:
        world = VersionWorld(3, ENDPOINTS)
        entry = world.entries[0]
        disturb(entry)
        surveys = [
            await entry.dispatcher.survey(bound_call(number), tried)
            for number in range(SURVEYS)
        ]
        await world.stop()
        return {version_of(survey) for survey in surveys}

    return run_virtually(main())


def version_of(survey: Survey) -> str:
    """Return the version of the chosen endpoint, an empty text without one."""
    if survey.placement is None:
        return ""
    return survey.placement.state.endpoint.software_version


def nothing(entry: RelayProcess) -> None:
    """Leave everything as it is."""


def eject(entry: RelayProcess) -> None:
    """Eject all endpoints of v1."""
    for state in states_of(entry, "v1"):
        state.health = Health(ejected_until=1e9)


def lapse(entry: RelayProcess) -> None:
    """Let the announcements of all endpoints of v1 lapse."""
    for state in states_of(entry, "v1"):
        state.lapsed_at = entry.clock()


def doubt(entry: RelayProcess) -> None:
    """Doubt all endpoints of v1."""
    for state in states_of(entry, "v1"):
        state.on_unreachable(entry.clock())


def confine(entry: RelayProcess) -> None:
    """Confine all requests to one endpoint."""
    entry.dispatcher.surveyor.confinement = lambda fingerprint: Confinement(1e9)


@pytest.mark.parametrize("disturb", [nothing, eject, lapse, doubt, confine])
def test_a_bound_call_goes_to_its_version(disturb: Any) -> None:
    assert chosen(disturb) == {"v1"}


def leave(entry: RelayProcess) -> None:
    """Let all endpoints of v1 leave."""
    for state in states_of(entry, "v1"):
        state.on_leaving(entry.clock())


def pause(entry: RelayProcess) -> None:
    """Let all endpoints of v1 want a pause."""
    for state in states_of(entry, "v1"):
        state.on_pause(5.0, entry.clock())


def limit(entry: RelayProcess) -> None:
    """Let all endpoints of v1 take no requests."""
    for state in states_of(entry, "v1"):
        state.limit = RequestLimit(1, 0.0)


def drop(entry: RelayProcess) -> None:
    """Drop all endpoints of v1."""
    for state in states_of(entry, "v1"):
        entry.endpoints.drop(state, "gone")


def evacuate(entry: RelayProcess) -> None:
    """Evacuate a zone that all endpoints of v1 are in."""
    for state in states_of(entry, "v1"):
        state.endpoint = state.endpoint._replace(zone="b")
    entry.endpoints.on_evacuation("b", True)


@pytest.mark.parametrize("disturb", [leave, pause, drop, evacuate])
def test_a_bound_call_goes_nowhere_without_its_version(disturb: Any) -> None:
    assert chosen(disturb) == {""}


def test_a_bound_call_takes_no_endpoint_of_another_version_if_its_own_are_limited() -> (
    None
):
    assert chosen(limit) <= {"", "v1"}


def test_a_bound_call_that_has_tried_all_of_its_version_goes_nowhere() -> None:
    names = tuple(f"i-{number}" for number in range(1, ENDPOINTS + 1, 2))
    assert chosen(nothing, names) == {""}


def test_a_survey_is_not_kept_if_another_boot_has_the_name_meanwhile() -> None:
    """Guards against sending to an engine of another version under the same name."""

    async def main() -> tuple[bool, bool]:
        world = VersionWorld(1, ENDPOINTS)
        entry = world.entries[0]
        survey = await entry.dispatcher.survey(bound_call(), ())
        assert survey.placement is not None
        before = entry.dispatcher.is_usable(survey)
        known = survey.placement.state.endpoint
        replace(entry, known._replace(software_version="v2"))
        after = entry.dispatcher.is_usable(survey)
        await world.stop()
        return before, after

    assert run_virtually(main()) == (True, False)


def replace(entry: RelayProcess, endpoint: Endpoint) -> None:
    """Announce another boot under an endpoint's name."""
    entry.endpoints._put(endpoint)


def test_parts_are_fetched_only_from_the_same_version() -> None:
    """Guards against prompts that are read from another version's memory."""

    async def main() -> set[str]:
        world = VersionWorld(1, ENDPOINTS)
        entry = world.entries[0]
        probes: Any = entry.probes
        probes.ask = report_parts_elsewhere
        call = calls.admitted(
            calls.route(RouteKind.STREAM),
            calls.CALL._replace(parts=(PromptPart("a", 90_000),)),
        )
        pairs = set()
        for _ in range(SURVEYS):
            placement = (await entry.dispatcher.survey(call, ())).placement
            assert placement is not None
            if placement.source is not None:
                source = placement.source.endpoint.software_version
                pairs.add(f"{placement.state.endpoint.software_version} {source}")
        await world.stop()
        return pairs

    assert run_virtually(main()) <= {"v1 v1", "v1.1 v1.1"}


async def report_parts_elsewhere(states: Any, *args: Any) -> dict[str, Any]:
    """Report that endpoints of v1.1 have the parts, and a long queue."""
    return {
        endpoint.name: QueueReport(1, 0, 90_000, None)
        if endpoint.software_version == "v1"
        else QueueReport(60, 10**9, 0, None)
        for endpoint in states
    }
