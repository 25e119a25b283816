"""The interface through which budgets reach the other entries."""

from typing import Protocol

from clementinebend_ledger.quota_requests import TokenRequest


class BudgetPeers(Protocol):
    """Operations on the other entries that budgets need."""

    def home_of(self, part: int) -> str | None:
        """Return the other entry that is a partition's home, or None if this one is."""
        ...

    def is_heard(self, boot: str) -> bool:
        """Return whether a boot of another entry was heard recently."""
        ...

    def ask(self, entry: str, team: str, asked: TokenRequest) -> None:
        """Request tokens of a team's budget from an entry."""
        ...

    def ask_others(self, team: str, asked: TokenRequest) -> None:
        """Request tokens of a team's budget from some other entries."""
        ...

    def return_tokens(self, entry: str, team: str, amount: int) -> bool:
        """Transfer tokens to an entry; return whether the entry is known."""
        ...

    def serve_unmet(self, part: int) -> None:
        """Answer earlier requests with tokens that are available now."""
        ...


class NoPeers:
    """Implements ``BudgetPeers`` for an entry that knows no other."""

    def home_of(self, part: int) -> str | None:
        """Return None: this entry is the home of all partitions."""
        return None

    def is_heard(self, boot: str) -> bool:
        """Return False: no other entry is known."""
        return False

    def ask(self, entry: str, team: str, asked: TokenRequest) -> None:
        """Do nothing, as no other entry is known."""

    def ask_others(self, team: str, asked: TokenRequest) -> None:
        """Do nothing, as no other entry is known."""

    def return_tokens(self, entry: str, team: str, amount: int) -> bool:
        """Return False: no other entry is known."""
        return False

    def serve_unmet(self, part: int) -> None:
        """Do nothing, as no other entry has requested anything."""
