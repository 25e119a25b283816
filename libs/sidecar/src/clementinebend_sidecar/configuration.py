"""The declarations in force, as far as they concern this endpoint."""

from asyncio import get_running_loop
from logging import getLogger

from clementinebend_declarations.models import Configuration, EndpointState
from clementinebend_declarations.replay import (
    configuration_of,
    empty_configuration_state,
    replay_configuration,
    restore_configuration,
)
from clementinebend_platform_client.exceptions import NewerSchema
from clementinebend_platform_client.log_client import LogClient
from clementinebend_platform_client.tail import StreamTail, TailOutcome
from clementinebend_records.records import Batch, Checkpoint
from clementinebend_records.streams import CONFIGURATION_STREAM
from clementinebend_sidecar.gate.events import Configured, DrainAsked, Event

logger = getLogger(__name__)


class ConfigurationWatch:
    """Replays the configuration stream; ``look`` says what follows from it.

    A sidecar needs no configuration to serve: without the log it goes on.
    """

    def __init__(self, client: LogClient, endpoint: str, readable: int) -> None:
        self.endpoint = endpoint
        self.readable = readable
        self.state = empty_configuration_state()
        self.was_declared = False
        self.newer_schema = 0
        self.loop = get_running_loop()
        self.tail = StreamTail(
            client,
            CONFIGURATION_STREAM,
            self.on_batch,
            self.on_restore,
            on_outcome=self.on_outcome,
        )

    def on_batch(self, offset: int, batch: Batch) -> None:
        """Replay one batch."""
        self.state, _ = replay_configuration(self.state, offset, batch, self.readable)

    def on_restore(self, checkpoint: Checkpoint) -> None:
        """Go on from a checkpoint, unless more is known already."""
        self.state = restore_configuration(checkpoint, self.state)

    def on_outcome(self, outcome: TailOutcome) -> None:
        """Note that the stream has a schema that this version cannot read."""
        if isinstance(outcome, NewerSchema):
            self.newer_schema = outcome.schema_version

    def look(self) -> tuple[Event, ...]:
        """Return what the gate has to be told now.

        Before the reader has caught up, only what can never be reverted counts:
        an old publication says nothing of what is in force.
        """
        configuration = configuration_of(self.state)
        newest = max(self.newer_schema, configuration.activated_schema)
        if newest > self.readable:
            return (DrainAsked(f"cannot read schema version {newest}"),)
        if not self.tail.ready.is_set():
            return ()
        cause = self.leaving_cause(configuration)
        asked = (DrainAsked(cause),) if cause else ()
        return (Configured(configuration.revision), *asked)

    def leaving_cause(self, configuration: Configuration) -> str:
        """Return why this endpoint is to leave, or nothing."""
        declared = configuration.declarations.endpoints.get(self.endpoint)
        if declared is None:
            return "endpoint removed" if self.was_declared else ""
        self.was_declared = True
        return "endpoint leaving" if declared.state is EndpointState.LEAVING else ""

    def models(self) -> tuple[str, ...]:
        """Return the models that the endpoint is declared to have now."""
        if not self.tail.ready.is_set():
            return ()
        endpoints = configuration_of(self.state).declarations.endpoints
        declared = endpoints.get(self.endpoint)
        return () if declared is None else declared.models

    async def close(self) -> None:
        """Stop reading."""
        await self.tail.close()
