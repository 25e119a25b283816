"""The other entries, as far as budgets need them."""

from typing import Protocol

from clementinebend_ledger.quota_requests import TokenRequest


class BudgetPeers(Protocol):
    """The other entries, as far as budgets need them."""

    def home_of(self, part: int) -> str | None:
        """Return which other entry is home of a partition; none if it is us."""
        ...

    def is_heard(self, boot: str) -> bool:
        """Tell whether a boot of another entry was heard a moment ago."""
        ...

    def ask(self, entry: str, team: str, asked: TokenRequest) -> None:
        """Ask an entry for tokens of a team's budget."""
        ...

    def ask_others(self, team: str, asked: TokenRequest) -> None:
        """Ask some other entries."""
        ...

    def give_back(self, entry: str, team: str, amount: int) -> bool:
        """Hand tokens to an entry; return whether it is known."""
        ...

    def serve_unmet(self, part: int) -> None:
        """Hand over what was asked for and is there now."""
        ...


class NoPeers:
    """Neighbours of an entry that knows of no other."""

    def home_of(self, part: int) -> str | None:
        """Return that this entry is the home of all."""
        return None

    def is_heard(self, boot: str) -> bool:
        """Return that nobody was heard."""
        return False

    def ask(self, entry: str, team: str, asked: TokenRequest) -> None:
        """Ask nobody."""

    def ask_others(self, team: str, asked: TokenRequest) -> None:
        """Ask nobody."""

    def give_back(self, entry: str, team: str, amount: int) -> bool:
        """Return that nobody is there."""
        return False

    def serve_unmet(self, part: int) -> None:
        """Nobody has asked."""
