"""Tests of claims during log outages and of two entries that claim one key.

An abandoned claim must not win once the log is back, and a call must not be
reported as not run while another run holds its key.
"""

from asyncio import create_task, get_running_loop, timeout
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from clementinebend_entry.calls import Call
from clementinebend_entry.claimed_calls import ClaimedCall
from clementinebend_entry.claims import ClaimsClient
from clementinebend_entry.outcomes import Refusal, Unknown
from clementinebend_entry.shard import LogSettings
from clementinebend_ledger.claims import ClaimWon
from clementinebend_platform_client.tail import TailSettings
from clementinebend_records.identifiers import (
    Incarnation,
    RequestKey,
    RunId,
)
from clementinebend_records.reasons import NotRunReason
from clementinebend_records.streams import claims_stream
from tests.lib.fake_log import FakeLog
from tests.lib.processes import wait_until
from tests.unit.entry.builders import chat_call

ME = Incarnation("entry-1#a")
OTHER_ENTRY = Incarnation("entry-2#a")
STREAM = claims_stream(RequestKey("team/k"), 1)
KEY, OTHER = RequestKey("team/k"), RequestKey("team/other")
FAR_S = 600.0
PATIENCE_S = 30.0


async def test_a_claim_that_the_log_swallows_is_given_up_at_once() -> None:
    log = FakeLog()
    claims_client = ClaimsClient(ME, 1, LogSettings(log.client(ME), ME, TailSettings()))
    deadline = get_running_loop().time() + FAR_S
    async with timeout(PATIENCE_S):
        won = await claims_client.claim(KEY, "d", RunId("r1"), deadline)
        assert isinstance(won, ClaimWon)
        await log.set(outage=True)
        assert await claims_client.claim(OTHER, "d", RunId("r2"), deadline) is None
        claims_client.void(OTHER, RunId("r2"))
        await log.set(outage=False)

        async def is_heard() -> bool:
            return claims_client.can_claim(OTHER)

        await wait_until(is_heard, "the log is readable again")
        again = await claims_client.claim(OTHER, "d", RunId("r3"), deadline)
        assert isinstance(again, ClaimWon)
        view = claims_client.claim_of(OTHER)
        assert view is not None and view.run == "r3"
        await claims_client.close(1.0)


def new_claims_client(log: FakeLog, claimant: Incarnation) -> ClaimsClient:
    return ClaimsClient(
        claimant, 1, LogSettings(log.client(claimant), claimant, TailSettings())
    )


def booking() -> Call:
    deadline = get_running_loop().time() + FAR_S
    return chat_call(
        key=KEY,
        has_idempotency_key=True,
        body_digest="d",
        idempotent=False,
        deadline=deadline,
    )


class Contest(NamedTuple):
    """A key that ``first`` has claimed without a run, and a call on ``second``."""

    log: FakeLog
    first: ClaimsClient
    second: ClaimsClient
    claim: ClaimedCall


@asynccontextmanager
async def contest() -> AsyncIterator[Contest]:
    log = FakeLog()
    first, second = new_claims_client(log, ME), new_claims_client(log, OTHER_ENTRY)
    deadline = get_running_loop().time() + FAR_S
    async with timeout(PATIENCE_S):
        won = await first.claim(KEY, "d", RunId("r1"), deadline)
        assert isinstance(won, ClaimWon)
        await wait_until_heard(second)
        yield Contest(log, first, second, ClaimedCall(second, booking()))
        await first.close(1.0)
        await second.close(1.0)


async def wait_until_heard(claims_client: ClaimsClient) -> None:
    async def is_heard() -> bool:
        return claims_client.can_claim(KEY) and claims_client.claim_of(KEY) is not None

    await wait_until(is_heard, "the claim is read")


async def free_after_the_next_batch(held: Contest) -> None:
    """Free the key of ``first`` once the other entry has written a batch."""

    async def is_written() -> bool:
        return held.log.streams[STREAM].end >= 2

    await wait_until(is_written, "the other entry has written")
    held.first.void(KEY, RunId("r1"))


async def test_a_claim_that_is_freed_a_moment_later_leaves_the_key_to_the_next() -> (
    None
):
    async with contest() as held:
        winning = create_task(held.claim.acquire(RunId("r2")))
        await free_after_the_next_batch(held)
        assert await winning is None
        assert held.claim.is_won
        view = held.second.claim_of(KEY)
        assert view is not None and view.run == "r2"


async def test_a_refusal_waits_for_a_claim_that_is_about_to_be_freed() -> None:
    async with contest() as held:
        confirming = create_task(held.claim.confirm_refusal())
        await free_after_the_next_batch(held)
        await confirming
        refusal = Refusal(NotRunReason.LOG_UNAVAILABLE, 0)
        assert held.claim.checked_refusal(refusal) == refusal


async def test_a_claim_that_stands_is_told_as_unknown_in_the_end() -> None:
    async with contest() as held:
        assert isinstance(await held.claim.acquire(RunId("r2")), Unknown)
