"""Comparison of the state digests that readers of a stream come to."""

from clementinebend_platform_client.exceptions import BrokenInvariantError
from clementinebend_records.records import Checkpoint

DIGESTS_KEPT = 64
"""Newest offsets for which a reader remembers a digest."""


def note_digest(digests: dict[int, str], checkpoint: Checkpoint) -> None:
    """Remember the digest at the checkpoint's offset.

    Raises ``BrokenInvariantError`` if another digest is known for that offset.
    """
    known = digests.setdefault(checkpoint.offset, checkpoint.digest)
    if known != checkpoint.digest:
        raise BrokenInvariantError(
            f"stream {checkpoint.stream!r}: replay up to offset {checkpoint.offset}"
            f" gives digest {known} here and {checkpoint.digest} elsewhere;"
            " compare the versions of the readers before you start them again"
        )
    while len(digests) > DIGESTS_KEPT:
        del digests[min(digests)]
