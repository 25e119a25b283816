"""Attaches a retried call to the existing run of its idempotency key."""

from asyncio import sleep
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
from clementinebend_records.reasons import NotRunReason
from clementinebend_transport.late_waits import wait_until_set

LINK_TIMEOUT_S = 1.0
"""How long to wait for the link to the sidecar of the earlier run."""

MAX_ATTEMPTS = 5
RETRY_INTERVAL_S = 0.03
"""Attaching is retried because a pointer is published before its run starts."""


class Attached(NamedTuple):
    """The result of a run that was found, and its follower."""

    follower: Follower
    result: RunResult


async def attach(
    services: Services, call: Call, existing_run: ExistingRun, output: AnswerOutput
) -> Attached | None:
    """Relay the complete answer of an earlier run; None if it is not found."""
    link = services.pool.link_to(existing_run.endpoint)
    if link is None or not await wait_until_up(link, call.deadline):
        return None
    for _ in range(MAX_ATTEMPTS):
        attached = await attach_once(link, call, output)
        if attached is None or not is_key_unknown(attached.result):
            return attached
        await sleep(RETRY_INTERVAL_S)
    return None


async def attach_once(
    link: SidecarLink, call: Call, output: AnswerOutput
) -> Attached | None:
    """Attach once to the run of the call's key; None if the link has no peer."""
    if link.peer is None:
        return None
    ATTACHMENTS.labels("retry").inc()
    opening = RunAttach(new_run_id(), call.key, call.body_digest)
    output.rewind()
    follower = Follower(link, link.peer.incarnation, opening, call.deadline, output)
    return Attached(follower, await follower.follow(LINK_TIMEOUT_S))


def is_key_unknown(result: RunResult) -> bool:
    """Return whether the sidecar reported that the key is unknown."""
    return isinstance(result, RunNotRun) and result.reason is NotRunReason.UNKNOWN_KEY


async def wait_until_up(link: SidecarLink, deadline: float) -> bool:
    """Wait briefly for a link; return whether it is up."""
    left = max(0.0, deadline - monotonic())
    return await wait_until_set(link.up, min(LINK_TIMEOUT_S, left))
