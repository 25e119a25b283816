"""Detection of ended endpoints, and of the runs that they interrupted."""

from asyncio import (
    Event,
    Server,
    StreamReader,
    StreamWriter,
    create_task,
    sleep,
    start_server,
)
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

import pytest

from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.quarantine import end_detector
from clementinebend_relay.quarantine.end_detector import (
    CONNECT_TIMEOUT,
    LATE_DATA_SECONDS,
    UNCONFIRMED_SECONDS,
    EndDetector,
    EndedRun,
    is_refused,
)
from clementinebend_relay.quarantine.state import Quarantine
from clementinebend_transport.client_connection import Address
from tests.lib.processes import free_port
from tests.lib.waiting import until
from tests.unit.transport.loopback import delay_event_loop


class DetectorRig(NamedTuple):
    """An endpoint, its detector, and the runs that the detector reported."""

    state: EndpointState
    detector: EndDetector
    reported: list[EndedRun]
    set_clock: Callable[[float], None]

    @property
    def boot(self) -> str:
        """Name of the endpoint's boot."""
        return boot_name(self.state.endpoint)

    def fingerprints(self) -> set[str]:
        """Return the fingerprints of the reported runs."""
        return {each.fingerprint for each in self.reported}


@pytest.fixture
async def rig() -> AsyncIterator[DetectorRig]:
    """Return a rig whose endpoint has a closed port; its clock starts at 100 s."""
    times = [100.0]
    address = Address("127.0.0.1", free_port())
    endpoint = Endpoint("i-1", "pool", address, "z", 4, False)
    state = EndpointState(endpoint, 0.0)
    reported: list[EndedRun] = []

    def clock() -> float:
        return times[0]

    def set_clock(at: float) -> None:
        times[0] = at

    quarantine = Quarantine(clock)
    detector = EndDetector(
        clock, quarantine.runs.checking, lambda _, runs: reported.extend(runs)
    )
    yield DetectorRig(state, detector, reported, set_clock)


async def listen(rig: DetectorRig) -> Server:
    """Listen at the endpoint's address, like a running endpoint."""

    async def accept(reader: StreamReader, writer: StreamWriter) -> None:
        writer.close()

    return await start_server(accept, *rig.state.endpoint.address)


async def wait_for_checks(rig: DetectorRig) -> None:
    """Wait until the detector has finished its checks."""
    await until(lambda: all(b.task is None for b in rig.detector.broken.values()))


async def test_a_refused_connection_proves_the_end(rig: DetectorRig) -> None:
    rig.detector.on_broken(rig.state, "a", 99.0)
    await wait_for_checks(rig)
    assert rig.fingerprints() == {"a"}


async def test_a_connection_that_broke_off_alone_proves_nothing(
    rig: DetectorRig,
) -> None:
    server = await listen(rig)
    rig.detector.on_broken(rig.state, "a", 99.0)
    await wait_for_checks(rig)
    assert not rig.reported
    server.close()


async def test_what_broke_off_well_before_the_end_is_not_told(rig: DetectorRig) -> None:
    server = await listen(rig)
    rig.detector.on_broken(rig.state, "reset before", 99.0)
    await wait_for_checks(rig)
    server.close()
    rig.set_clock(102.0)
    rig.detector.on_broken(rig.state, "cause", 101.9)
    await wait_for_checks(rig)
    assert rig.fingerprints() == {"cause"}


async def test_another_boot_proves_the_end_of_what_was_there_first(
    rig: DetectorRig,
) -> None:
    """A proxy in front of the endpoint accepts connections throughout."""
    server = await listen(rig)
    rig.state.on_heard(99.5)
    rig.detector.on_broken(rig.state, "cause", 99.0)
    await wait_for_checks(rig)
    rig.set_clock(101.0)
    rig.detector.on_broken(rig.state, "sent when it had ended", 100.9)
    await wait_for_checks(rig)
    rig.detector.on_gone(rig.state.endpoint)
    assert rig.fingerprints() == {"cause"}
    assert rig.reported[0].run.ended_at == 100.0
    server.close()


async def test_calls_to_an_endpoint_that_may_have_ended_before_are_not_told(
    rig: DetectorRig,
) -> None:
    """A new entry has no data from the endpoint; a proxy accepts its connections."""
    server = await listen(rig)
    rig.detector.on_broken(rig.state, "harmless", 99.0)
    await wait_for_checks(rig)
    rig.detector.on_gone(rig.state.endpoint)
    assert not rig.reported
    server.close()


async def test_an_endpoint_that_answers_later_had_not_ended(rig: DetectorRig) -> None:
    server = await listen(rig)
    rig.detector.on_broken(rig.state, "a", 99.0)
    rig.detector.on_alive(rig.boot)
    assert rig.boot in rig.detector.broken
    rig.set_clock(100.0 + 2 * LATE_DATA_SECONDS)
    rig.detector.on_alive(rig.boot)
    rig.detector.on_gone(rig.state.endpoint)
    assert not rig.reported
    server.close()


async def test_an_end_that_is_expected_or_proved_too_late_is_not_told(
    rig: DetectorRig,
) -> None:
    server = await listen(rig)
    rig.detector.on_broken(rig.state, "a", 99.0)
    await wait_for_checks(rig)
    rig.set_clock(100.0 + 2 * UNCONFIRMED_SECONDS)
    rig.state.on_leaving(100.0)
    rig.detector.on_broken(rig.state, "b", 99.0)
    assert not rig.reported
    server.close()


async def test_broken_runs_count_as_in_progress_until_the_first_check(
    rig: DetectorRig,
) -> None:
    rig.detector.on_broken(rig.state, "a", 99.0)
    broken = rig.detector.broken[rig.boot]
    assert (
        broken.held_runs.pop_all()
    )  # the context that counts the run has been entered
    await wait_for_checks(rig)


@pytest.mark.parametrize("refuses", [True, False])
async def test_a_refusal_that_arrives_in_a_late_iteration_proves_the_end(
    rig: DetectorRig, monkeypatch: pytest.MonkeyPatch, refuses: bool
) -> None:
    """Guards against an end that stays unknown since this entry was late."""
    begun = Event()

    async def connect(*address: object) -> None:
        begun.set()
        await sleep(CONNECT_TIMEOUT if refuses else 10 * CONNECT_TIMEOUT)
        raise ConnectionRefusedError

    monkeypatch.setattr(end_detector, "open_connection", connect)
    checking = create_task(is_refused(rig.state.endpoint))
    await begun.wait()
    delay_event_loop(1.5 * CONNECT_TIMEOUT)
    assert await checking == refuses
