"""What the end of an answer without length or chunks says of its endpoint."""

from asyncio import Task, create_task, get_running_loop, sleep
from socket import socketpair
from types import SimpleNamespace
from typing import Any

import pytest

from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.models import Endpoint, RouteKind, boot_name
from clementinebend_relay.progress import CallProgress
from clementinebend_relay.quarantine.end_detector import EndDetector, EndedRun
from clementinebend_relay.quarantine.state import Quarantine
from clementinebend_relay.run_outcomes import BARE_END_SECONDS, RunOutcomes
from clementinebend_routing.fatal_runs import PART_SOUND_SECONDS
from clementinebend_routing.sessions import PromptPart
from clementinebend_transport.client_connection import Address
from tests.unit.relay import calls
from tests.unit.transport.loopback import delay_event_loop, until

PARTS = (PromptPart("aa", 50), PromptPart("own", 50))
LOOKED_SECONDS = 0.2
"""Seconds after which the address of an endpoint has been looked at."""


class OutcomeRig:
    """Outcomes of the runs at one endpoint, which listens unless ``is_refused``.

    ``evidence`` are the runs that it ended under, ``sound`` the subjects that ran well.
    """

    def __init__(self, is_refused: bool = False) -> None:
        clock = get_running_loop().time
        endpoint = Endpoint("i-1", "pool", Address("127.0.0.1", 9), "z", 4, False)
        self.state = EndpointState(endpoint, clock())
        self.evidence: list[EndedRun] = []
        self.sound: list[str] = []
        self.quarantine = quarantine = Quarantine(clock)

        async def look(_: Endpoint) -> bool:
            return is_refused

        self.ends = EndDetector(
            clock,
            quarantine.runs.checking,
            lambda _, runs: self.evidence.extend(runs),
            look,
        )
        news = SimpleNamespace(quarantine=quarantine, on_sound=self.sound.append)
        dispatcher = SimpleNamespace(ends=self.ends)
        self.outcomes = RunOutcomes(dispatcher, news, clock)  # type: ignore[arg-type]
        self.clock = clock

    def end_bare(self) -> CallProgress:
        """End a bare answer of the endpoint now."""
        call = calls.CALL._replace(parts=PARTS)
        route = calls.route(RouteKind.STREAM)
        progress = CallProgress(calls.admitted(route, call), self.clock() + 9.0)
        progress.sent_at = self.clock() - 0.1
        answer: Any = SimpleNamespace(ends_with_channel=True)
        self.outcomes.on_end(progress, self.state, answer)
        return progress


@pytest.mark.parametrize("pause", [0.0, 0.05])
async def test_bytes_read_right_after_a_bare_answer_are_no_life(pause: float) -> None:
    """Guards against a cause that its endpoint's last bytes clear."""
    rig = OutcomeRig(is_refused=True)
    rig.end_bare()
    await sleep(pause)
    rig.state.on_heard(rig.clock())
    await sleep(BARE_END_SECONDS + LOOKED_SECONDS)
    assert not rig.sound
    assert [each.parts for each in rig.evidence] == [("part-aa",)]


async def test_later_bytes_of_its_endpoint_show_that_a_bare_answer_ran_well() -> None:
    rig = OutcomeRig()
    progress = rig.end_bare()
    await sleep(BARE_END_SECONDS * 0.8)
    rig.state.on_heard(rig.clock())
    await sleep(BARE_END_SECONDS)
    assert rig.sound == [progress.admitted.fingerprint, "part-aa"]


async def test_the_end_of_a_bare_answer_is_no_suspicion_of_a_later_end() -> None:
    """Guards against a request that was answered before its endpoint ended."""
    rig = OutcomeRig(is_refused=False)
    rig.end_bare()
    await sleep(BARE_END_SECONDS + LOOKED_SECONDS)
    assert boot_name(rig.state.endpoint) not in rig.ends.broken
    rig.ends.on_gone(rig.state.endpoint)
    assert not rig.evidence
    assert not rig.sound


async def test_a_bare_answer_is_no_evidence_if_its_endpoint_ended_later() -> None:
    """Guards against an end that is dated before its cause was sent."""
    rig = OutcomeRig(is_refused=True)
    rig.end_bare()
    await sleep(BARE_END_SECONDS)
    rig.quarantine.ends.on_ended(boot_name(rig.state.endpoint), rig.clock())
    await sleep(LOOKED_SECONDS)
    assert not rig.evidence
    assert not rig.sound


async def test_a_bare_answer_is_no_evidence_if_bytes_came_after_it() -> None:
    rig = OutcomeRig(is_refused=True)
    rig.end_bare()
    await sleep(BARE_END_SECONDS * 0.8)
    rig.state.on_heard(rig.clock())
    rig.quarantine.ends.on_ended(boot_name(rig.state.endpoint), rig.clock())
    await sleep(BARE_END_SECONDS + LOOKED_SECONDS)
    assert not rig.evidence
    assert not rig.sound


@pytest.mark.parametrize("breaks", [False, True])
async def test_a_break_that_arrives_in_a_late_iteration_clears_no_part(
    breaks: bool,
) -> None:
    """Guards against parts that are cleared since the entry was late itself."""
    rig = OutcomeRig()
    call = calls.CALL._replace(parts=PARTS)
    admitted = calls.admitted(calls.route(RouteKind.STREAM), call)
    progress = CallProgress(admitted, rig.clock() + 9.0)
    ours, theirs = socketpair()

    async def read_break() -> None:
        await sleep(0.0)
        rig.ends.on_broken(rig.state, "other", rig.clock() - 0.1)

    tasks: list[Task[None]] = []

    def on_readable() -> None:
        ours.recv(1)
        tasks.append(create_task(read_break()))

    get_running_loop().add_reader(ours, on_readable)
    rig.outcomes.on_whole(progress, rig.state)
    if breaks:
        theirs.send(b"x")
    delay_event_loop(PART_SOUND_SECONDS + 0.1)
    await until(lambda: bool(tasks and tasks[0].done()) or bool(rig.sound))
    await sleep(0.05)
    assert rig.sound == ([] if breaks else ["part-aa"])
    get_running_loop().remove_reader(ours)
    ours.close()
    theirs.close()
