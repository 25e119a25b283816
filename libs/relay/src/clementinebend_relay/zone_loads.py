"""Which other entries of the zone are overloaded or out of rotation."""

from collections.abc import Callable, Iterator
from math import inf
from typing import NamedTuple

from clementinebend_admission.rotation import EntryState
from clementinebend_records.identifiers import Incarnation, process_name_of
from clementinebend_relay.discovery import Directory
from clementinebend_relay.messages import EntryLoadMessage
from clementinebend_transport.client_connection import Address

VALID_SECONDS = 1.5
"""Seconds for which a received message is valid while this entry is not saturated:
three times the interval at which it is repeated."""

MAX_KEPT_SECONDS = 10.0
"""Longest time in seconds for which a received message is valid while this entry is
saturated. It bounds how long an entry that was killed in the meantime is counted."""

MAX_STATES = 1_000
"""Maximum number of entries whose state is kept."""


class HeardState(NamedTuple):
    """A state, the boot and number of its message, and when that arrived.

    ``announced`` is the boot of its process that was announced then, empty if none.
    """

    at: float
    boot: str
    number: int
    state: EntryState
    announced: str


class ZoneLoads:
    """The states that the other entries of the zone have announced.

    ``leaving`` holds the boots that are stopping; they are out of rotation, too. While
    this entry is saturated, its link loses messages, so that silence proves nothing:
    states do not expire then, and their age counts from the end of the saturation.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        directory: Directory,
        leaving: set[str],
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.zone = zone
        self.directory = directory
        self.leaving = leaving
        self.clock = clock
        self.heard: dict[str, HeardState] = {}
        self.is_saturated = False
        self.saturated_until = -inf

    def on_saturation(self, is_saturated: bool) -> None:
        """Note whether this entry is saturated; states expired by now are forgotten."""
        if is_saturated == self.is_saturated:
            return
        self._forget_expired()
        self.is_saturated = is_saturated
        if not is_saturated:
            self.saturated_until = self.clock()

    def on_message(self, message: EntryLoadMessage) -> None:
        """Keep the state of another entry, unless a later one is known."""
        name = process_name_of(Incarnation(message.boot))
        if message.zone != self.zone or name == self.name:
            return
        known = self.heard.get(name)
        is_same_boot = known is not None and known.boot == message.boot
        if known is not None and is_same_boot and message.number <= known.number:
            return
        if known is None and len(self.heard) >= MAX_STATES:
            self._forget_expired()
        if known is None and len(self.heard) >= MAX_STATES:
            return
        state = EntryState(
            name, message.utilization, message.is_overloaded, message.is_out
        )
        self.heard[name] = HeardState(
            self.clock(),
            message.boot,
            message.number,
            state,
            self._announced_boot(name),
        )

    def others(self) -> list[EntryState]:
        """Return the other entries that are overloaded or out, as far as known."""
        self._forget_expired()
        states = {
            name: each.state
            for name, each in self.heard.items()
            if each.state.is_overloaded or each.state.is_out
        }
        for name, boot in self._announced():
            if boot in self.leaving:
                states[name] = EntryState(name, inf, False, True)
        return list(states.values())

    def _forget_expired(self) -> None:
        now = self.clock()
        expired = [
            name for name, each in self.heard.items() if self._is_expired(each, now)
        ]
        for name in expired:
            del self.heard[name]

    def _is_expired(self, heard: HeardState, now: float) -> bool:
        """Return whether a state is too old, or its process is announced no more."""
        if now - heard.at >= MAX_KEPT_SECONDS:
            return True
        if self._announced_boot(heard.state.name) not in (heard.boot, heard.announced):
            return True
        counted_from = max(heard.at, self.saturated_until)
        return not self.is_saturated and now - counted_from > VALID_SECONDS

    def _announced_boot(self, name: str) -> str:
        """Return the announced boot of a process, empty if there is none."""
        item = self.directory.announcements.get(name)
        return "" if item is None else item.boot

    def entries(self) -> int:
        """Return the number of the zone's entries, including this one."""
        return 1 + sum(1 for _ in self._announced())

    def addresses(self) -> list[Address]:
        """Return the addresses of the zone's other entries."""
        announced = self.directory.announcements
        return [announced[name].address for name, _ in self._announced()]

    def _announced(self) -> Iterator[tuple[str, str]]:
        """Yield the names and boots of the zone's other entries."""
        for name, item in self.directory.announcements.items():
            if item.zone == self.zone and name != self.name:
                yield name, item.boot
