"""The wait for the head of a stream's response, in scripted time."""

from asyncio import Future, create_task, gather, get_running_loop, sleep
from contextlib import ExitStack
from types import SimpleNamespace
from typing import Any

from clementinebend_relay.attempts import OpenAttempt
from clementinebend_relay.models import Reason, RouteKind
from clementinebend_relay.openings import Opening
from clementinebend_relay.progress import CallProgress
from clementinebend_transport.http_types import Response
from tests.unit.relay import calls


class FakeAttempts:
    """Attempts whose first one ends as the test says."""

    def __init__(self) -> None:
        self.clock = get_running_loop().time
        self.first: Future[OpenAttempt | None] = Future()

    async def next(self, progress: CallProgress) -> OpenAttempt | None:
        """Return what the test has set."""
        return await self.first


def opened(closed: list[str]) -> OpenAttempt:
    """Return an attempt that records in ``closed`` that it has been closed."""
    cleanup = ExitStack()
    cleanup.callback(closed.append, "cleanup")
    answer: Any = SimpleNamespace(close=lambda: closed.append("answer"))
    state: Any = SimpleNamespace()
    return OpenAttempt(state, answer, cleanup)


def stream_progress() -> CallProgress:
    """Return the progress of a resumable stream."""
    return calls.progress(calls.route(RouteKind.STREAM))


async def test_a_head_that_comes_as_the_caller_leaves_is_closed() -> None:
    """Guards against a run that stays in flight for nobody."""
    attempts, closed = FakeAttempts(), list[str]()
    sender: Any = attempts
    opening = Opening(sender, stream_progress())
    task = create_task(opening.run())
    await sleep(0)
    attempts.first.set_result(opened(closed))
    await opening.first
    task.cancel()
    await gather(task, return_exceptions=True)
    assert task.cancelled()
    assert sorted(closed) == ["answer", "cleanup"]


def test_a_failure_is_kept_as_an_attempt_beside_it_is_turned_away() -> None:
    """Guards against an endpoint's own failure that is replaced by a rejection."""
    progress = stream_progress()
    second = progress.for_second_attempt()
    progress.failure = Response(500, (), b"failed")
    progress.add_attempts(second)
    assert progress.failure is not None


def test_the_fields_of_attempts_side_by_side_are_not_mixed() -> None:
    """Guards against reports on one endpoint that tell of another one's run."""
    progress = stream_progress()
    progress.sent_at, progress.ahead, progress.attempts = 1.0, 100.0, 1
    second = progress.for_second_attempt()
    second.sent_at, second.ahead, second.attempts = 2.0, 7.0, 2
    progress.add_attempts(second)
    assert (progress.sent_at, progress.ahead, progress.attempts) == (1.0, 100.0, 2)
    progress.adopt_attempt(second)
    assert (progress.sent_at, progress.ahead) == (2.0, 7.0)


def test_a_second_attempt_is_paid_from_the_retry_budget() -> None:
    """Guards against a second attempt that counts as the first, beside a late head."""
    progress = stream_progress()
    assert progress.sent == 0
    assert progress.for_second_attempt().sent == 1


def test_a_call_is_not_told_as_not_run_if_a_second_attempt_may_have_run() -> None:
    """Guards against a promise for the first attempt only, which was turned away."""
    progress = stream_progress()
    progress.may_have_run = True
    second = progress.for_second_attempt()
    second.may_have_run = True
    progress.add_attempts(second)
    progress.may_have_run = False
    assert progress.rejection(progress.deadline - 1.0).reason is Reason.MAY_HAVE_RUN


def test_a_call_whose_attempts_were_all_turned_away_is_told_as_not_run() -> None:
    progress = stream_progress()
    progress.may_have_run = True
    progress.attempts = 2
    progress.add_attempts(progress.for_second_attempt())
    progress.may_have_run = False
    assert progress.rejection(progress.deadline - 1.0).reason is Reason.NOT_RUN
