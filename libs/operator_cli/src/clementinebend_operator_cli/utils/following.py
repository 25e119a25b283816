"""Reading a stream to its end, and writing to it until that is read back."""

from asyncio import FIRST_COMPLETED, Event, Future, create_task, get_running_loop, wait
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import Any, Generic

from expression import Error, Ok, Result

from clementinebend_declarations.state import ConfigurationState
from clementinebend_operator_cli.exceptions import (
    CommandError,
    failure,
    log_unreachable,
)
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.utils.append_watch import AppendWatch
from clementinebend_operator_cli.utils.replicas import Replica, State, Step
from clementinebend_platform_client.exceptions import CoverageLost, PostFailed
from clementinebend_platform_client.tail import StreamTail, TailOutcome
from clementinebend_platform_client.writer import StreamWriter
from clementinebend_records.codec import SCHEMA_VERSION
from clementinebend_records.identifiers import new_incarnation
from clementinebend_records.records import Batch, Checkpoint, Record

WRITER_NAME = "operator"


class Follower(Generic[State]):
    """The tasks that read and write one stream for a command.

    Each has a writer incarnation of its own, since sequences start anew.
    """

    def __init__(self, operator: Operator, replica: Replica[State]) -> None:
        self.replica = replica
        self.url = operator.settings.log_url
        self.patience = operator.settings.log_timeout_s
        self.failed: Future[CommandError] = get_running_loop().create_future()
        self.watch = AppendWatch(operator.log)
        self.writer = StreamWriter(
            self.watch,
            replica.stream,
            new_incarnation(WRITER_NAME),
            on_broken=self.on_broken,
        )
        self.tail = StreamTail(
            operator.log,
            replica.stream,
            self.on_batch,
            self.on_restore,
            on_outcome=self.on_outcome,
            on_broken=self.on_broken,
        )

    def on_batch(self, offset: int, batch: Batch) -> None:
        """Replay a batch and let the writer see its own."""
        self.replica.apply(offset, batch)
        self.writer.on_read(offset, batch)

    def on_restore(self, checkpoint: Checkpoint) -> None:
        """Go on from a checkpoint."""
        self.replica.restore(checkpoint)
        last = self.replica.state.sequences.get(self.writer.writer, 0)
        self.writer.on_restored(checkpoint.offset, last)

    def on_outcome(self, outcome: TailOutcome) -> None:
        """Give up on a stream that cannot be read."""
        if isinstance(outcome, CoverageLost):
            message = (
                f"{outcome.stream}: the log keeps nothing before offset "
                f"{outcome.oldest} and no checkpoint covers it; wait until an "
                "entry that is up has appended one"
            )
        else:
            message = (
                f"{outcome.stream}: written under schema {outcome.schema_version}, "
                f"and this command reads up to {SCHEMA_VERSION}; install a newer one"
            )
        self.fail(failure(message))

    def on_broken(self, error: BaseException) -> None:
        """Give up on a stream whose state cannot be trusted."""
        message = f"{self.replica.stream}: the state is damaged: {error}"
        self.fail(failure(message))

    def fail(self, error: CommandError) -> None:
        """Remember the first reason to give up."""
        if not self.failed.done():
            self.failed.set_result(error)

    async def read_to_end(self) -> CommandError | None:
        """Wait until the stream is replayed; return why that fails."""
        error = await self.wait_for(self.tail.ready)
        return error or self.unreadable()

    async def wait_for(self, event: Event) -> CommandError | None:
        """Wait for an event, a failure, or the end of patience."""
        waiting = create_task(event.wait())
        awaited: set[Future[Any]] = {waiting, self.failed}
        await wait(awaited, timeout=self.patience, return_when=FIRST_COMPLETED)
        if waiting.done():
            return None
        waiting.cancel()
        return self.failed.result() if self.failed.done() else self.silence()

    async def post(self, records: Iterable[Record]) -> Result[Step, CommandError]:
        """Log records in one batch and return what replay made of them."""
        future = self.writer.post(records)
        awaited: set[Future[Any]] = {future, self.failed}
        await wait(awaited, timeout=self.patience, return_when=FIRST_COMPLETED)
        if not future.done():
            await self.writer.close(0)
        outcome = await future
        if outcome.is_error():
            return Error(self.not_read_back(outcome.error))
        step = self.replica.step_at(outcome.ok)
        if step is None:
            message = "it was logged, but the log keeps it no longer: look at `audit`"
            return Error(failure(message))
        return Ok(step)

    def not_read_back(self, reason: PostFailed) -> CommandError:
        """Return the error of records that may be on the log, or are not."""
        if self.failed.done():
            return self.failed.result()
        if self.watch.may_have_effect:
            message = (
                f"the log at {self.url} was sent the change and did not show it "
                f"within {self.patience:g} s: it may still come into force. "
                "Look at `clementinebend audit` before trying again"
            )
            return log_unreachable(message)
        message = f"the log at {self.url} took nothing: {reason.message}"
        return log_unreachable(f"{message}. Nothing was changed; try again later")

    def silence(self) -> CommandError:
        """Return the error of a log that cannot be read."""
        return log_unreachable(
            f"the log at {self.url} could not be read within {self.patience:g} s; "
            "check log_url in the settings, or try again later"
        )

    def unreadable(self) -> CommandError | None:
        """Return the error of an activated schema that is too new."""
        state = self.replica.state
        if not isinstance(state, ConfigurationState):
            return None
        activated = state.configuration.activated_schema
        if activated <= SCHEMA_VERSION:
            return None
        return failure(
            f"schema {activated} is activated, and this command reads up to "
            f"{SCHEMA_VERSION}; install a newer one"
        )

    async def close(self) -> None:
        """Stop reading and writing."""
        await self.tail.close()
        await self.writer.close(0)


@asynccontextmanager
async def following(
    operator: Operator, replica: Replica[State]
) -> AsyncIterator[Result[Follower[State], CommandError]]:
    """Give a follower that has read the stream to its end, or why it cannot."""
    follower = Follower(operator, replica)
    try:
        error = await follower.read_to_end()
        yield Ok(follower) if error is None else Error(error)
    finally:
        await follower.close()


async def read_stream(
    operator: Operator, replica: Replica[State]
) -> Result[Replica[State], CommandError]:
    """Return the replica, read to the end of its stream."""
    async with following(operator, replica) as opened:
        return opened.map(lambda follower: follower.replica)
