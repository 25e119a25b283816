"""The slow link of the fault proxy, while the event loop is late."""

from asyncio import AbstractEventLoop, get_running_loop, sleep
from time import sleep as block

from tests.soak.proxy import Link

RATE = 500_000.0
PIECE_BYTES = 4_000
PIECES = 50
SECONDS = PIECES * PIECE_BYTES / RATE
"""Seconds that the link takes for all pieces."""

BLOCKED_SECONDS = 0.005
PAUSE_SECONDS = 0.001


async def carry_all(link: Link) -> float:
    """Send all pieces over a link; return the seconds that this took."""
    clock = get_running_loop().time
    start = clock()
    for _ in range(PIECES):
        await link.carry(PIECE_BYTES)
    return clock() - start


def block_again_and_again(loop: AbstractEventLoop) -> None:
    block(BLOCKED_SECONDS)
    loop.call_later(PAUSE_SECONDS, block_again_and_again, loop)


async def test_a_link_keeps_its_rate_while_the_event_loop_is_late() -> None:
    block_again_and_again(get_running_loop())
    seconds = await carry_all(Link(RATE))
    assert SECONDS <= seconds < 1.2 * SECONDS


async def test_a_link_saves_up_no_rate_while_it_is_idle() -> None:
    link = Link(RATE)
    await carry_all(link)
    await sleep(SECONDS)
    assert await carry_all(link) >= 0.95 * SECONDS
