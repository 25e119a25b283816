"""Answers that arrive by a call's deadline, while the event loop is late."""

from asyncio import create_task, get_running_loop, sleep
from time import sleep as block
from types import SimpleNamespace
from typing import cast

import pytest

from clementinebend_entry.answer_output import AnswerOutput
from clementinebend_entry.execution import Execution
from clementinebend_entry.pieces import Whole
from clementinebend_entry.responder import respond

LIMIT_SECONDS = 0.02
BLOCKED_AT, BLOCKED_SECONDS = 0.01, 0.05
ARRIVES_AT = 0.015
STATUS_OK, STATUS_UNKNOWN = 200, 504


class LateExecution:
    """An execution whose call has been dispatched, with what a responder needs."""

    def __init__(self, seconds: float) -> None:
        deadline = get_running_loop().time() + seconds
        self.call = SimpleNamespace(deadline=deadline)
        self.output = AnswerOutput(stream=False)
        self.dispatched = True
        self.tell = self.output.finish

    def abandon(self) -> None:
        """Go on without the caller."""

    async def answer(self, iterations: int) -> None:
        """Answer, some iterations after the message with the end has arrived."""
        await sleep(ARRIVES_AT)
        for _ in range(iterations):
            await sleep(0.0)
        self.tell(Whole(STATUS_OK, "text/plain", b"whole"))


def do_nothing() -> None:
    """Do nothing."""


@pytest.mark.parametrize("iterations", [0, 4, 10])
async def test_an_answer_of_a_late_iteration_is_delivered(iterations: int) -> None:
    """Guards against a deadline that wins over an answer that has come."""
    execution = LateExecution(LIMIT_SECONDS)
    get_running_loop().call_later(BLOCKED_AT, block, BLOCKED_SECONDS)
    answering = create_task(execution.answer(iterations))
    response = await respond(cast(Execution, execution), do_nothing)
    assert response.status == STATUS_OK
    await answering


async def test_a_call_without_an_answer_ends_at_its_deadline() -> None:
    execution = LateExecution(LIMIT_SECONDS)
    response = await respond(cast(Execution, execution), do_nothing)
    assert response.status == STATUS_UNKNOWN
