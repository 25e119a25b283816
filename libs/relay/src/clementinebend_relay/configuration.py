"""The active configuration of this process; its version never decreases."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from typing import Any

from clementinebend_platform_client.keyed_log import KeyedRecord
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.interfaces import (
    CONFIGURATION_KEY,
    InvalidRecord,
    RecordDecoder,
)
from clementinebend_relay.metrics import configuration_version
from clementinebend_relay.models import Configuration, Route, Team

MAX_BYTES_AT_ONCE = 32 * 1024
"""Size in bytes up to which a configuration is decoded in one iteration of the event
loop, which takes some 2 ms."""


class ConfigurationTable:
    """Keeps the newest configuration and calls ``on_change`` with each newer one."""

    def __init__(
        self, records: RecordDecoder, on_change: Callable[[Configuration], Any]
    ) -> None:
        self.records = records
        self.on_change = on_change
        self.current: Configuration | None = None

    def on_record(self, record: KeyedRecord) -> Awaitable[None] | None:
        """Apply a record; anything but a newer configuration is ignored.

        A large one is applied by awaiting the returned awaitable.
        """
        if record.key != CONFIGURATION_KEY or not record.value:
            return None
        if len(record.value) > MAX_BYTES_AT_ONCE:
            return self._apply_in_steps(record.value)
        self._apply(self.records.configuration(record.value), len(record.value))
        return None

    async def _apply_in_steps(self, value: bytes) -> None:
        """Decode a configuration over several event loop iterations and apply it."""
        steps = self.records.configuration_steps(value)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                self._apply(end.value, len(value))
                return
            await sleep(0.0)

    def _apply(self, decoded: Configuration | InvalidRecord, size: int) -> None:
        """Make a decoded configuration current if it is newer; ``size`` is in bytes."""
        if isinstance(decoded, InvalidRecord):
            log_decision("configuration refused", problem=decoded.problem)
        elif self.current is None or decoded.version > self.current.version:
            previous = self.current and self.current.version
            self.current = decoded
            configuration_version.set(decoded.version)
            log_decision(
                "configuration applied",
                version=decoded.version,
                previous=previous,
                bytes=size,
            )
            self.on_change(decoded)

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Do nothing: a snapshot without a configuration does not remove it."""


def find_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route of ``host`` whose prefix is the longest one of ``path``."""
    routes = configuration.routes.get(host)
    if routes is None:
        return None
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = routes.get(path[: end + 1])
        if route is not None:
            return route
    return None


def find_team(configuration: Configuration, key: str | None) -> Team | None:
    """Return the team that a bearer key belongs to."""
    name = None if key is None else configuration.keys.get(key)
    return None if name is None else configuration.teams.get(name)
