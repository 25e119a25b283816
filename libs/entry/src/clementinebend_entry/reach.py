"""How long each other entry has been silent, directly and on the log."""

from collections.abc import Mapping

from clementinebend_records.identifiers import Incarnation, name_of

LONGEST_DOUBLING = 10


class Reach:
    """Joins what links and streams tell of other entries.

    ``first_patience`` is how long an entry may be silent before its holder is
    closed, in seconds; each close doubles it until the entry is seen again.
    """

    def __init__(self, names: tuple[str, ...], first_patience: float, now: float):
        self.first_patience = first_patience
        self.up: set[str] = set()
        self.heard_at: dict[str, float] = dict.fromkeys(names, now)
        self.closes: dict[str, int] = {}

    def on_up(self, name: str, now: float) -> None:
        """Take in that an entry can be reached."""
        self.up.add(name)
        self.heard_at[name] = now
        self.closes.pop(name, None)

    def on_down(self, name: str, now: float) -> None:
        """Take in that an entry cannot be reached any more."""
        self.up.discard(name)
        self.heard_at[name] = now

    def on_written(self, writer: Incarnation, now: float) -> None:
        """Take in that a batch of an entry was read on the log."""
        name = name_of(writer)
        if name in self.heard_at:
            self.heard_at[name] = now

    def on_close(self, name: str) -> None:
        """Take in that this entry closes a holder of ``name``."""
        self.closes[name] = self.closes.get(name, 0) + 1

    def silent_for(self, now: float) -> Mapping[str, float]:
        """Return how long each entry out of reach has been silent."""
        return {
            name: now - heard_at
            for name, heard_at in self.heard_at.items()
            if name not in self.up
        }

    def patience(self) -> Mapping[str, float]:
        """Return how long each entry may be silent."""
        return {
            name: self.first_patience
            * 2 ** min(self.closes.get(name, 0), LONGEST_DOUBLING)
            for name in self.heard_at
        }
