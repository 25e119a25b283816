"""Calls that wait at the entry until little lies ahead of them."""

from asyncio import create_task, gather, get_running_loop, sleep
from collections.abc import Collection
from typing import cast

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.admission import Admitted
from clementinebend_relay.dispatch import Dispatcher
from clementinebend_relay.models import Reason, Rejection, RouteKind
from clementinebend_relay.prompt_queues import PromptQueues
from clementinebend_relay.survey import Survey
from clementinebend_routing.sessions import PromptPart
from tests.unit.relay import calls
from tests.unit.relay.calls import CALL

PATIENCE_HERE = 1.0
"""Half of the two seconds for which a caller stays without an event."""


class Ahead:
    """A dispatcher that knows how many seconds lie ahead of a prompt."""

    def __init__(self, seconds: float | None) -> None:
        self.seconds = seconds

    async def survey(self, admitted: Admitted, tried: Collection[str]) -> Survey:
        return Survey(get_running_loop().time(), None, self.seconds)


def admitted(name: str, priority: int = 1, tokens: int = 1_000) -> Admitted:
    parts = (PromptPart(name, tokens),) if tokens else ()
    call = CALL._replace(request_id=name, parts=parts, prompt_tokens=tokens)
    return calls.admitted(calls.route(RouteKind.STREAM, priority=priority), call)


def room_before(ahead: Ahead) -> PromptQueues:
    return PromptQueues(cast(Dispatcher, ahead), get_running_loop().time)


def test_a_call_goes_at_once_where_little_or_nothing_known_lies_ahead() -> None:
    async def main() -> None:
        for seconds in (0.0, None):
            room = room_before(Ahead(seconds))
            assert isinstance(await room.enter(admitted("a")), Survey)

    run_virtually(main())


def test_a_call_without_a_prompt_never_waits() -> None:
    async def main() -> None:
        assert await room_before(Ahead(9.0)).enter(admitted("a", tokens=0)) is None

    run_virtually(main())


def test_a_waiting_call_goes_once_there_is_room_the_most_urgent_first() -> None:
    async def main() -> list[str]:
        ahead = Ahead(9.0)
        room = room_before(ahead)
        went: list[str] = []

        async def enter(name: str, priority: int) -> None:
            assert isinstance(await room.enter(admitted(name, priority)), Survey)
            went.append(name)

        tasks = [create_task(enter("later", 2)), create_task(enter("urgent", 0))]
        await sleep(0.1)
        assert went == []
        ahead.seconds = 0.0
        await gather(*tasks)
        return went

    assert run_virtually(main()) == ["urgent", "later"]


def test_a_call_that_finds_no_room_is_refused_long_before_its_caller_leaves() -> None:
    async def main() -> tuple[Survey | Rejection | None, float]:
        room = room_before(Ahead(9.0))
        outcome = await room.enter(admitted("a"))
        return outcome, room.clock()

    outcome, now = run_virtually(main())
    assert isinstance(outcome, Rejection)
    assert outcome.reason is Reason.OVERLOADED
    assert outcome.retry_after is not None and outcome.retry_after > 0
    assert PATIENCE_HERE <= now < PATIENCE_HERE + 0.1


def test_what_cannot_start_in_time_is_refused_at_once() -> None:
    async def main() -> tuple[Survey | Rejection | None, float]:
        room = room_before(Ahead(9.0))
        first = create_task(room.enter(admitted("first", 0, tokens=500_000)))
        await sleep(0)
        outcome = await room.enter(admitted("second"))
        now = room.clock()
        first.cancel()
        return outcome, now

    outcome, now = run_virtually(main())
    assert isinstance(outcome, Rejection)
    assert now == 0.0


def test_a_caller_that_leaves_waits_no_more() -> None:
    async def main() -> int:
        room = room_before(Ahead(9.0))
        task = create_task(room.enter(admitted("a")))
        await sleep(0.05)
        task.cancel()
        await gather(task, return_exceptions=True)
        return len(room.waiters["pool"])

    assert run_virtually(main()) == 0
