"""Loads of several teams that compete for too few engines, and what became of them."""

from asyncio import Task, create_task, get_running_loop, sleep
from collections.abc import Callable, Coroutine, Sequence
from random import Random
from typing import NamedTuple

from clementinebend_transport.http_client import Answer
from tests.lib.arrivals import poisson
from tests.lib.platform_engine import EVENTS
from tests.lib.platform_fleet import Fleet

PROMPT_TOKENS = 1000
EVENT_PAUSE = 0.005
"""Pause before each event of an engine's stream."""

LATE_SECONDS = 0.5
"""The latency target of the fleet's routes."""


class TeamLoad(NamedTuple):
    """A team that sends ``rate`` prompts a second to some of the entries."""

    team: str
    rate: float
    entries: Sequence[int] = (0,)


class Outcome(NamedTuple):
    """What became of one prompt; times are in seconds.

    ``seconds`` is how long the whole answer took, ``first_seconds`` less the stream's
    duration after its first event. ``returned`` is set if its caller was rejected
    before and returned as told.
    """

    team: str
    at: float
    seconds: float
    first_seconds: float
    status: int
    retry_after: float | None
    returned: bool


async def send(
    fleet: Fleet, load: TeamLoad, prompt: str, request_id: str, returned: bool = False
) -> Outcome:
    """Send one prompt that no engine has cached; all its tries have one name."""
    clock = get_running_loop().time
    at = clock()
    answer = await fleet.call(
        "/stream/x",
        Random(request_id).choice(load.entries),
        (PROMPT_TOKENS, 24),
        request_id=request_id,
        authorization=f"Bearer key-{load.team}",
        x_prefix_hash=f"{prompt}:{PROMPT_TOKENS}",
    )
    status, retry_after = 0, None
    if answer.is_ok():
        status, retry_after = answer.ok.status, _retry_after(answer.ok)
    seconds = clock() - at
    first = seconds - (EVENTS - 1) * EVENT_PAUSE if status == 200 else seconds
    return Outcome(load.team, at, seconds, first, status, retry_after, returned)


def _retry_after(answer: Answer) -> float | None:
    text = answer.headers.get("retry-after")
    return None if text is None else float(text)


async def offer(
    fleet: Fleet,
    loads: Sequence[TeamLoad],
    seconds: float,
    on_offered: Callable[[], object] = lambda: None,
    prefix: str = "p",
) -> list[Outcome]:
    """Send prompts at random times for some seconds; return the outcomes.

    ``on_offered`` is called once the last one has been sent. Names of prompts begin
    with ``prefix``.
    """

    async def call(load: TeamLoad, name: str) -> list[Outcome]:
        return [await send(fleet, load, prefix + name, prefix + name)]

    return await _offer(loads, seconds, call, on_offered)


async def offer_to_returning_callers(
    fleet: Fleet, load: TeamLoad, seconds: float
) -> list[Outcome]:
    """Send prompts at random times, and each rejected one once more when told.

    The rate is that of all prompts: for each one that returns, a new one is left out.
    """
    returns = 0

    async def call(load: TeamLoad, name: str) -> list[Outcome]:
        nonlocal returns
        if returns > 0:
            returns -= 1
            return []
        first = await send(fleet, load, name, name)
        if first.status == 200 or first.retry_after is None:
            return [first]
        await sleep(first.retry_after)
        returns += 1
        again = await send(fleet, load, name, f"{name}-again", returned=True)
        return [first, again]

    return await _offer([load], seconds, call, lambda: None)


async def _offer(
    loads: Sequence[TeamLoad],
    seconds: float,
    call: Callable[[TeamLoad, str], Coroutine[None, None, list[Outcome]]],
    on_offered: Callable[[], object],
) -> list[Outcome]:
    random = Random(1)
    clock = get_running_loop().time
    start = clock()
    arrivals = sorted(
        (at, load) for load in loads for at in poisson(random, load.rate, seconds)
    )

    tasks: list[Task[list[Outcome]]] = []
    for number, (at, load) in enumerate(arrivals):
        await sleep(start + at - clock())
        tasks.append(create_task(call(load, f"{number:06}")))
    on_offered()
    return [outcome for task in tasks for outcome in await task]


def served_share(outcomes: Sequence[Outcome]) -> float:
    """Return the share of prompts that were served."""
    return sum(each.status == 200 for each in outcomes) / len(outcomes)


def served_per_second(outcomes: Sequence[Outcome], team: str, seconds: float) -> float:
    """Return how many of a team's prompts were served a second."""
    own = (each for each in outcomes if each.team == team and each.status == 200)
    return sum(1 for _ in own) / seconds
