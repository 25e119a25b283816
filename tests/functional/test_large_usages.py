"""Calls that name very large numbers of tokens, as clients without a limit do."""

from asyncio import create_task, gather, sleep
from itertools import count, product

import pytest
from expression import Result

from clementinebend_transport.http_client import Answer, HttpFailure
from tests.lib.platform_fleet import Fleet

ENTRIES = 3
WORKERS = 12
AFTER_SECONDS = 1.0
"""Seconds for which calls are watched after the last large one."""

PAUSE_SECONDS = 0.02
PREPAID = 4_000_000
OTHER_TEAM = "batch"
BEYOND_INT_CONVERSION = "1" + "0" * 4_400
"""More digits than Python converts to an integer."""

SIZES = (
    *(str(size) for size in (2**31 - 1, 2**63, 2**64 - 1, 10**21, 10**300)),
    BEYOND_INT_CONVERSION,
)
PATHS = ("/safe/1", "/stream/1")


def outcome_of(result: Result[Answer, HttpFailure]) -> int | str:
    """Return the status of an answer, or why there is none."""
    return result.ok.status if result.is_ok() else result.error.message


async def send_large(fleet: Fleet, worker: int, statuses: set[int | str]) -> None:
    """Name each size as the output's and as the prompt's, on both kinds of route."""
    for number, (size, path) in enumerate(product(SIZES, PATHS), worker):
        for usage in (f"400,{size}", f"{size},24"):
            outcome = await fleet.call(
                path,
                entry=number % ENTRIES,
                authorization=f"Bearer key-{OTHER_TEAM}",
                x_token_usage=usage,
            )
            statuses.add(
                outcome.ok.status if outcome.is_ok() else outcome.error.message
            )


async def send_proper(fleet: Fleet, statuses: set[int | str]) -> None:
    """Send proper calls of the usual team until cancelled."""
    for number in count():
        outcome = await fleet.call("/stream/1", entry=number % ENTRIES)
        statuses.add(outcome_of(outcome))
        await sleep(PAUSE_SECONDS)


async def test_calls_that_name_no_limit_end_no_entry(fleet: Fleet) -> None:
    """Guards against counts of callers that no record or message can hold.

    The task that met one ended its process, and with it the calls of all other teams.
    """
    fleet.more_teams = {OTHER_TEAM: None}
    await fleet.start(ENTRIES, prepaid=PREPAID)
    large: set[int | str] = set()
    proper: set[int | str] = set()
    sending = create_task(send_proper(fleet, proper))
    await gather(*(send_large(fleet, worker, large) for worker in range(WORKERS)))
    await sleep(AFTER_SECONDS)
    sending.cancel()
    assert [entry.process.returncode for entry in fleet.entries] == [None] * ENTRIES
    assert large == {402}
    assert proper == {200}


@pytest.mark.parametrize("size", ["9" * 30, BEYOND_INT_CONVERSION])
async def test_a_part_of_any_size_leaves_its_call_served(
    fleet: Fleet, size: str
) -> None:
    """Guards against a 500 for a part whose size no message can hold."""
    await fleet.start(ENTRIES, prepaid=PREPAID)
    outcome = await fleet.call("/stream/1", x_prefix_hash=f"aa:{size},bb:12")
    assert outcome_of(outcome) == 200
    assert fleet.entries[0].process.returncode is None
