"""An incarnation's claim to the right of ordering its engine."""

from expression import Result

from clementinebend_membership.fencing import (
    empty_fencing,
    fencing_checkpoint,
    fencing_number,
    may_order,
    replay_fencing,
    restore_fencing,
)
from clementinebend_platform_client.log_client import LogClient
from clementinebend_platform_client.tail import StreamTail
from clementinebend_platform_client.writer import StreamWriter
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Batch, Checkpoint, FencingClaim
from clementinebend_records.streams import FENCING_STREAM

CLOSE_SECONDS = 1.0


class FencingReader:
    """Replays the stream of claims, and appends one claim at most.

    A claim is made once in a process's life: an incarnation that is superseded
    does not order again, so that two of them never take turns.
    """

    def __init__(
        self, client: LogClient, endpoint: str, incarnation: Incarnation
    ) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.state = empty_fencing()
        self.claimed = False
        self.writer = StreamWriter(client, FENCING_STREAM, incarnation)
        self.tail = StreamTail(
            client,
            FENCING_STREAM,
            self.on_batch,
            self.on_restore,
            make_checkpoint=lambda: fencing_checkpoint(self.state, FENCING_STREAM),
            writer=self.writer,
        )

    def on_batch(self, offset: int, batch: Batch) -> None:
        """Replay one batch."""
        self.state, _ = replay_fencing(self.state, offset, batch)
        self.writer.on_read(offset, batch)

    def on_restore(self, checkpoint: Checkpoint) -> None:
        """Go on from a checkpoint."""
        self.state = restore_fencing(checkpoint)
        last = self.state.writers.get(self.incarnation)
        sequence = 0 if last is None else last.sequence
        self.writer.on_restored(checkpoint.offset, sequence)

    async def number(self) -> int | None:
        """Return the fencing number to order under, None without the right."""
        if not self.claimed and not await self.claim():
            return None
        if not may_order(self.state, self.endpoint, self.incarnation):
            return None
        return fencing_number(self.state, self.endpoint)

    async def claim(self) -> bool:
        """Append the claim; return whether it was read back."""
        record = FencingClaim(self.endpoint, self.incarnation)
        match await self.writer.post((record,)):
            case Result(tag="ok"):
                self.claimed = True
        return self.claimed

    async def close(self) -> None:
        """Stop reading and writing."""
        await self.writer.close(CLOSE_SECONDS)
        await self.tail.close()
