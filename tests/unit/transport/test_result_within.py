"""Results that are awaited for a limited time, while the event loop is late."""

from asyncio import (
    CancelledError,
    Event,
    create_task,
    current_task,
    get_running_loop,
    sleep,
)
from contextlib import suppress
from time import sleep as block

import pytest

from clementinebend_transport.late_waits import result_within

LIMIT_SECONDS = 0.02
BLOCKED_AT, BLOCKED_SECONDS = 0.01, 0.05
READY_AT = 0.03
ANSWER = "answer"


class Work:
    """Waits until it is ready, then for some iterations; records how it ended."""

    def __init__(self, iterations: int = 0) -> None:
        self.ready = Event()
        self.iterations = iterations
        self.begun = Event()
        self.has_cleaned_up = False

    async def run(self) -> str:
        self.begun.set()
        try:
            await self.ready.wait()
            for _ in range(self.iterations):
                await sleep(0.0)
        except CancelledError:
            await sleep(0.0)
            self.has_cleaned_up = True
            raise
        return ANSWER


@pytest.mark.parametrize("iterations", [0, 10])
async def test_a_result_of_a_late_iteration_is_returned(iterations: int) -> None:
    work, loop = Work(iterations), get_running_loop()
    loop.call_later(BLOCKED_AT, block, BLOCKED_SECONDS)
    loop.call_later(READY_AT, work.ready.set)
    assert await result_within(work.run(), LIMIT_SECONDS, 16) == ANSWER


async def test_work_that_is_not_done_is_cancelled_and_has_ended() -> None:
    work = Work()
    with pytest.raises(TimeoutError):
        await result_within(work.run(), LIMIT_SECONDS)
    assert work.has_cleaned_up


async def test_work_is_cancelled_with_its_caller() -> None:
    work = Work()
    waiting = create_task(result_within(work.run(), 10.0))
    await work.begun.wait()
    waiting.cancel()
    with pytest.raises(CancelledError):
        await waiting
    assert work.has_cleaned_up


async def test_an_error_of_the_work_is_raised() -> None:
    async def fail() -> None:
        raise ValueError(ANSWER)

    with pytest.raises(ValueError, match=ANSWER):
        await result_within(fail(), LIMIT_SECONDS)


@pytest.mark.parametrize("iterations", range(4))
async def test_no_result_is_lost_as_its_caller_leaves(iterations: int) -> None:
    """Guards against a response whose attempt nobody closes."""
    work = Work()
    waiting = create_task(result_within(work.run(), 10.0))
    await work.begun.wait()
    work.ready.set()
    for _ in range(iterations):
        await sleep(0.0)
    waiting.cancel()
    with suppress(CancelledError):
        assert await waiting == ANSWER
    assert work.has_cleaned_up == waiting.cancelled()


async def test_a_result_that_the_time_limit_does_not_stop_is_returned() -> None:
    async def finish() -> str:
        with suppress(CancelledError):
            await Event().wait()
        return ANSWER

    assert await result_within(finish(), LIMIT_SECONDS) == ANSWER


async def test_a_time_limit_that_has_passed_leaves_the_caller_alone() -> None:
    work, caller = Work(), current_task()
    with pytest.raises(TimeoutError):
        await result_within(work.run(), LIMIT_SECONDS)
    assert caller is not None
    assert not caller.cancelling()


@pytest.mark.parametrize("seconds", [0.0, -1.0])
async def test_work_that_needs_no_wait_is_done_after_the_time_limit(
    seconds: float,
) -> None:
    work = Work()
    work.ready.set()
    assert await result_within(work.run(), seconds) == ANSWER
