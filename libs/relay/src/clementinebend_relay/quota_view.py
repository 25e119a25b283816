"""The quotas of some teams as read from the log, and what this holder may spend.

This module neither waits nor sends: the task of the quota manager passes it what it has
read.
"""

from collections.abc import Callable
from typing import NamedTuple

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import decode

from clementinebend_ledger.quota_account import QuotaAccount
from clementinebend_ledger.quota_sizing import QuotaSize, size_quota
from clementinebend_ledger.quota_witness import is_opened
from clementinebend_ledger.quotas import (
    HolderRecord,
    Quota,
    QuotaKey,
    empty_book,
    max_recent_rate,
    others,
    put_holder,
    put_quota,
)
from clementinebend_platform_client.keyed_log import KeyedRecord, Page
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.witnesses import Witnesses

LIVE_SECONDS = 2.5
"""A holder that has written nothing for this long, while the log was readable, is
considered dead: its reserve is reclaimed if a witness agrees. If the holder is alive
after all, this costs it one commit."""

FRESH_SECONDS = 2.0
"""Maximum age in seconds of a read of the quotas for a refusal to be final."""

NO_QUOTA = Quota(0, 0, 0, 0)
NO_RECORD = HolderRecord(0, ())

SEPARATOR = "/"
"""Separates team and holder in a key; holder names contain none. The key of a holder's
own record has an empty team."""


class Pending(NamedTuple):
    """An append of unknown outcome: it lands at offset ``at`` or never."""

    at: int
    record: HolderRecord
    quotas: dict[str, Quota]
    records: tuple[tuple[str, bytes], ...]


class Shortfall(NamedTuple):
    """A reservation that could not be made.

    ``is_spent`` is true if too little of the budget is left for any holder. ``left`` is
    what was left for live holders according to the quotas read ``age`` seconds ago, and
    ``uncertain`` what dead holders may or may not have spent. Both are ``None`` for a
    team without a budget here; all are ``None`` before the first read.
    """

    is_spent: bool
    left: int | None
    uncertain: int | None
    age: float | None


class QuotaView:
    """The quotas as one holder knows them, and its accounts.

    ``pending`` is an append that may or may not be in the log: until its outcome is
    known, only the amount allowed in both cases may be spent.
    """

    def __init__(
        self,
        holder: str,
        witnesses: Witnesses,
        is_succeeded: Callable[[str], bool],
        is_heard: Callable[[str], bool],
        is_home: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.holder = holder
        self.witnesses = witnesses
        self.is_succeeded = is_succeeded
        self.is_heard = is_heard
        self.is_home = is_home
        self.clock = clock
        self.book = empty_book()
        self.accounts: dict[str, QuotaAccount] = {}
        self.prepaid: dict[str, int] = {}
        self.pending: Pending | None = None
        self.append_seconds = 0.0
        self.read_at: float | None = None
        self.last_record_at: dict[str, float] = {}
        self.taken_over: set[str] = set()

    def account(self, team: str) -> QuotaAccount:
        """Return the account of a team; a new one holds nothing."""
        account = self.accounts.get(team)
        if account is None:
            account = self.accounts[team] = QuotaAccount(self.clock())
            account.limit = self._limit(team)
        return account

    def age(self) -> float | None:
        """Return the seconds since the log was last read."""
        return None if self.read_at is None else self.clock() - self.read_at

    def is_fresh(self) -> bool:
        """Return whether the last read is recent enough for a final refusal."""
        age = self.age()
        return age is not None and age < FRESH_SECONDS

    def shortfall(self, team: str, amount: int) -> Shortfall:
        """Return why ``amount`` cannot be reserved."""
        if self.read_at is None or team not in self.prepaid:
            return Shortfall(False, None, None, self.age())
        size = self.size_quota(team, self.live())
        is_spent = self.is_fresh() and size.unspent < amount
        uncertain = size.unspent - size.pool
        return Shortfall(is_spent, size.pool, uncertain, self.age())

    def take(self, page: Page) -> None:
        """Apply a page that was read, or that this holder has appended."""
        self.read_at = self.clock()
        for record in page.records:
            self._put(record)
        self.book = self.book._replace(end=max(self.book.end, page.next_offset))
        if self.pending is not None and self.pending.at < self.book.end:
            self.pending = None
        self.refresh_limits()

    def refresh_limits(self) -> None:
        """Recompute the spending limit of each account."""
        for team, account in self.accounts.items():
            account.limit = self._limit(team)

    def quota(self, team: str) -> Quota:
        """Return this holder's quota of a team as recorded in the log."""
        return self.book.teams.get(team, {}).get(self.holder, NO_QUOTA)

    def has_open_quotas(self) -> bool:
        """Return whether this holder may still spend under its quotas."""
        own = (quotas.get(self.holder, NO_QUOTA) for quotas in self.book.teams.values())
        return self.pending is not None or any(
            quota.ceiling > quota.spent for quota in own
        )

    def has_waiting_calls(self) -> bool:
        """Return whether calls wait for tokens of some budget."""
        return any(account.waiting for account in self.accounts.values())

    def record(self) -> HolderRecord:
        """Return this holder's record in the log."""
        return self.book.holders.get(self.holder, NO_RECORD)

    def unopened_records(self) -> list[HolderRecord]:
        """Return the possibly newest records whose reserves are not opened yet."""
        possible = [self.record()]
        if self.pending is not None:
            possible.append(self.pending.record)
        return [record for record in possible if not self._is_opened(record)]

    def live(self) -> frozenset[str]:
        """Return the holders that wrote, or whose entries were heard, recently.

        Entries that are not the home of a budget may write nothing for a long time.
        """
        now = self.clock()
        return frozenset(
            name
            for name, at in self.last_record_at.items()
            if (now - at < LIVE_SECONDS or self.is_heard(name))
            and not self.is_succeeded(name)
        )

    def size_quota(self, team: str, live: frozenset[str]) -> QuotaSize:
        """Return the quota that this holder should have of a team.

        ``live`` is computed once for all teams of a commit.
        """
        self._raise_rates_on_takeover(team)
        return size_quota(
            self.account(team),
            self.quota(team),
            others(self.book, team, self.holder),
            live,
            self.prepaid[team],
            self.is_home(),
            self.append_seconds,
            self.clock(),
        )

    def _raise_rates_on_takeover(self, team: str) -> None:
        """Raise the account's rates to the recent one when this holder becomes home.

        Without it a new home sizes its quota from no demand and refuses calls.
        """
        if not self.is_home():
            self.taken_over.discard(team)
        elif team not in self.taken_over:
            self.taken_over.add(team)
            rate = max_recent_rate(self.book, team, self.holder)
            self.account(team).raise_rates(rate, self.clock())

    def _put(self, record: KeyedRecord) -> None:
        team, _, holder = record.key.rpartition(SEPARATOR)
        try:
            if team:
                quota = decode(record.value, type=Quota) if record.value else None
                put_quota(self.book, QuotaKey(team, holder), quota, record.offset)
            else:
                holder_record = (
                    decode(record.value, type=HolderRecord) if record.value else None
                )
                put_holder(self.book, holder, holder_record, record.offset)
                self.last_record_at[holder] = self.clock()
        except (DecodeError, ValidationError, RecursionError) as error:
            log_decision("mark refused", key=record.key, problem=str(error))

    def _is_opened(self, record: HolderRecord) -> bool:
        return is_opened(record, self.witnesses.of(self.holder))

    def _limit(self, team: str) -> int:
        """Return what may be spent whether or not the pending append is in the log."""
        quota = self.quota(team)
        limit = self._spendable(self.record(), quota)
        if self.pending is None:
            return limit
        quota = self.pending.quotas.get(team, quota)
        return min(limit, self._spendable(self.pending.record, quota))

    def _spendable(self, record: HolderRecord, quota: Quota) -> int:
        return quota.ceiling if self._is_opened(record) else quota.unwitnessed
