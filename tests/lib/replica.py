"""A reader's state for tests: the top-ups that it applied, in order.

It drops repeats of a writer's batches as every replay does, and can be taken
up from a checkpoint.
"""

from json import dumps, loads

from clementinebend_records.identifiers import digest_of
from clementinebend_records.records import Batch, Checkpoint, TopUp


class Replica:
    """Top-ups applied, and the last sequence of each writer."""

    def __init__(self, stream: str) -> None:
        self.stream = stream
        self.applied: list[str] = []
        self.sequences: dict[str, int] = {}
        self.offset = -1
        self.restored = 0

    def on_batch(self, offset: int, batch: Batch) -> None:
        """Apply a batch, unless it is a repeat."""
        assert offset > self.offset, (offset, self.offset)
        self.offset = offset
        if batch.sequence <= self.sequences.get(batch.writer, 0):
            return
        self.sequences[batch.writer] = batch.sequence
        records = (record for record in batch.records if isinstance(record, TopUp))
        self.applied.extend(record.top_up for record in records)

    def restore(self, checkpoint: Checkpoint) -> None:
        """Take the state of a checkpoint in place of this one."""
        fields = loads(checkpoint.state)
        self.applied = fields["applied"]
        self.sequences = fields["sequences"]
        self.offset = checkpoint.offset
        self.restored += 1

    def checkpoint(self) -> Checkpoint:
        """Return a checkpoint of the state as it is now."""
        fields = {"applied": self.applied, "sequences": self.sequences}
        state = dumps(fields, sort_keys=True).encode()
        return Checkpoint(self.stream, self.offset, digest_of(state), state)


def top_up(name: str) -> TopUp:
    """Return a record that is told apart by ``name``."""
    return TopUp("budget", name, 1, "test")
