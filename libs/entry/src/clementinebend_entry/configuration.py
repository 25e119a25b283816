"""Holds the configuration in force, read from the log or received from a peer.

The revision of a node never decreases: a state is replaced only by one that has
replayed more of the stream.
"""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from logging import getLogger

from expression import Result

from clementinebend_declarations.checkpoints import (
    decode_configuration_state,
    encode_configuration_state,
    newer_state,
)
from clementinebend_declarations.models import Configuration
from clementinebend_declarations.replay import (
    configuration_checkpoint,
    configuration_of,
    empty_configuration_state,
    replay_configuration,
    restore_configuration,
)
from clementinebend_declarations.state import (
    ConfigurationOutcome,
    ConfigurationState,
    Diverged,
    UnsupportedSchema,
)
from clementinebend_entry.exceptions import BrokenInvariant
from clementinebend_entry.lookup import Directory, directory_of
from clementinebend_entry.metrics import REVISION
from clementinebend_entry.shard import LogSettings
from clementinebend_platform_client.exceptions import NewerSchema
from clementinebend_platform_client.tail import StreamTail, TailOutcome
from clementinebend_platform_client.writer import StreamWriter
from clementinebend_records.messages import ConfigurationReply
from clementinebend_records.records import Batch, Checkpoint
from clementinebend_records.streams import CONFIGURATION_STREAM

logger = getLogger(__name__)

PEER_INTERVAL_S = 0.5
"""How often peers are asked while the log is unreachable."""

AskPeers = Callable[[], Awaitable[tuple[ConfigurationReply, ...]]]


class ConfigurationKeeper:
    """Replays the configuration stream; create it inside a running loop."""

    def __init__(
        self,
        log: LogSettings,
        readable_schema: int,
        on_change: Callable[[Directory], None],
        on_unreadable: Callable[[], None],
    ) -> None:
        self.readable_schema = readable_schema
        self.on_change = on_change
        self.on_unreadable = on_unreadable
        self.state: ConfigurationState = empty_configuration_state()
        self.directory = directory_of(self.configuration)
        self.writer = StreamWriter(
            log.client, CONFIGURATION_STREAM, log.writer, log.post
        )
        self.tail = StreamTail(
            log.client,
            CONFIGURATION_STREAM,
            self.on_batch,
            self.on_restore,
            lambda: configuration_checkpoint(self.state),
            self.writer,
            self.on_outcome,
            log.tail,
        )

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return configuration_of(self.state)

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first."""
        return self.configuration.revision

    @property
    def is_known(self) -> bool:
        """Whether any revision is known."""
        return self.revision > 0

    def on_batch(self, offset: int, batch: Batch) -> None:
        """Replay the next batch."""
        self.writer.on_read(offset, batch)
        state, outcomes = replay_configuration(
            self.state, offset, batch, self.readable_schema
        )
        self.replace_state(state)
        for outcome in outcomes:
            self.handle_outcome(outcome)

    def on_restore(self, checkpoint: Checkpoint) -> None:
        """Restore a checkpoint, unless the current state is at least as new."""
        self.replace_state(restore_configuration(checkpoint, self.state))
        last = self.state.sequences.get(self.writer.writer, 0)
        self.writer.on_restored(checkpoint.offset, last)

    def on_outcome(self, outcome: TailOutcome) -> None:
        """Call ``on_unreadable`` if the stream has records of a newer schema."""
        if isinstance(outcome, NewerSchema):
            self.on_unreadable()

    def handle_outcome(self, outcome: ConfigurationOutcome) -> None:
        """Call ``on_unreadable`` for an unsupported schema; raise if states differ."""
        if isinstance(outcome, UnsupportedSchema):
            self.on_unreadable()
        if isinstance(outcome, Diverged):
            raise BrokenInvariant(f"configuration checkpoints differ: {outcome}")

    def replace_state(self, state: ConfigurationState) -> None:
        """Switch to a state that has replayed more of the stream."""
        before = self.revision
        self.state = state
        if self.revision < before:
            raise BrokenInvariant(
                f"configuration revision decreased from {before} to {self.revision}"
            )
        if self.revision == before:
            return
        self.directory = directory_of(self.configuration)
        REVISION.set(self.revision)
        logger.info("configuration revision %d is in force", self.revision)
        self.on_change(self.directory)

    def receive_from_peer(self, reply: ConfigurationReply) -> None:
        """Switch to the configuration of a peer if it is newer and readable."""
        match decode_configuration_state(reply.state):
            case Result(tag="ok", ok=state):
                is_readable = (
                    state.configuration.activated_schema <= self.readable_schema
                )
                if is_readable and state.configuration.revision > self.revision:
                    self.replace_state(newer_state(self.state, state))
            case Result(error=reason):
                logger.warning("cannot decode the configuration of a peer: %s", reason)

    def reply(self, question: int) -> ConfigurationReply:
        """Return the reply to a peer that asks for the configuration."""
        return ConfigurationReply(
            question, self.revision, encode_configuration_state(self.state)
        )

    async def ask_peers(self, ask: AskPeers) -> None:
        """Ask peers for their configuration whenever the log is unreadable, forever."""
        while True:
            if self.tail.failures:
                for reply in await ask():
                    self.receive_from_peer(reply)
            await sleep(PEER_INTERVAL_S)

    async def close(self, patience: float) -> None:
        """Stop reading and writing."""
        await self.writer.close(patience)
        await self.tail.close()
