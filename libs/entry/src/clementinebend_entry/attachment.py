"""Attaches a retry to the run that its key has already."""

from asyncio import sleep, timeout
from time import monotonic
from typing import NamedTuple

from clementinebend_entry.answer_output import AnswerOutput
from clementinebend_entry.calls import Call
from clementinebend_entry.following import Follower
from clementinebend_entry.metrics import ATTACHMENTS
from clementinebend_entry.pointer_client import ExistingRun
from clementinebend_entry.run_results import RunNotRun, RunResult
from clementinebend_entry.services import Services
from clementinebend_entry.sidecar_link import SidecarLink
from clementinebend_records.identifiers import new_run_id
from clementinebend_records.messages import RunAttach
from clementinebend_records.reasons import NotRun

LINK_PATIENCE_S = 1.0
"""How long the sidecar of an earlier run is waited for."""

TRIES = 5
TRY_INTERVAL_S = 0.03
"""A pointer is placed before its run starts, so the run may be on its way."""


class Attached(NamedTuple):
    """The run was found, and this is how it ended."""

    follower: Follower
    result: RunResult


async def attach(
    services: Services, call: Call, existing_run: ExistingRun, output: AnswerOutput
) -> Attached | None:
    """Relay the whole answer of an earlier run; None if it cannot be found."""
    link = services.pool.link_to(existing_run.endpoint)
    if link is None or not await is_up(link, call.deadline):
        return None
    for _ in range(TRIES):
        attached = await attach_once(link, call, output)
        if attached is None or not is_unknown(attached.result):
            return attached
        await sleep(TRY_INTERVAL_S)
    return None


async def attach_once(
    link: SidecarLink, call: Call, output: AnswerOutput
) -> Attached | None:
    """Ask once for the answer of the key's run."""
    if link.peer is None:
        return None
    ATTACHMENTS.labels("retry").inc()
    opening = RunAttach(new_run_id(), call.key, call.body_digest)
    output.tell_again()
    follower = Follower(link, link.peer.incarnation, opening, call.deadline, output)
    return Attached(follower, await follower.follow(LINK_PATIENCE_S))


def is_unknown(result: RunResult) -> bool:
    """Return whether the sidecar knows no run of the key."""
    return isinstance(result, RunNotRun) and result.reason is NotRun.UNKNOWN_KEY


async def is_up(link: SidecarLink, deadline: float) -> bool:
    """Wait a short time for a link."""
    left = max(0.0, deadline - monotonic())
    try:
        async with timeout(min(LINK_PATIENCE_S, left)):
            await link.up.wait()
    except TimeoutError:
        return False
    return True
