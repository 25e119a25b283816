"""Decides what a holder should append to the log of quotas next."""

from typing import NamedTuple

from msgspec.msgpack import encode

from clementinebend_ledger.quota_witness import is_unopened
from clementinebend_ledger.quotas import HolderRecord, Quota, reclaimable
from clementinebend_records.token_counts import MAX_TOKENS
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.quota_view import NO_QUOTA, SEPARATOR, Pending, QuotaView

REWRITE_SECONDS = 1.0
"""Maximum seconds between records of a live home."""

SPENDABLE_STEP = 8
"""A changed quota is written if the change is at least one part in this many of what
may be spent without witnesses, so that small changes cost no append."""

CEILING_STEP = 16
"""The same for changes of the whole quota."""


class QuotaTarget(NamedTuple):
    """The quota that a holder should have of a budget.

    ``lacking`` is how many tokens are missing to the calls that wait here or elsewhere,
    except those that need more than is left; it is negative if none are.
    """

    quota: Quota
    lacking: int


class QuotaPlan:
    """Computes the appends of a holder, one at a time."""

    def __init__(self, view: QuotaView) -> None:
        self.view = view
        self.epoch = 0
        self.is_closing = False

    def next_append(self, written_at: float | None) -> Pending | None:
        """Return the append that brings the log up to date, or None if it is.

        A home also rewrites its own record when it has appended nothing for a while
        since ``written_at``, so that the other holders see that it is alive.
        """
        view = self.view
        known = view.record()
        is_home = view.is_home()
        live = view.live()
        chosen = known.witnesses
        if is_home:
            chosen = view.witnesses.choose(known.witnesses)
        is_due = is_home and (
            written_at is None or view.clock() - written_at > REWRITE_SECONDS
        )
        quotas = self._due_quotas(live, is_home)
        reclaimed = self._reclaimed(live)
        if not (quotas or reclaimed or is_due or chosen != known.witnesses):
            return None
        self.epoch = max(self.epoch, known.epoch) + 1
        record = HolderRecord(self.epoch, chosen)
        records = (
            (SEPARATOR + view.holder, encode(record)),
            *(
                (team + SEPARATOR + view.holder, encode(quotas[team]))
                for team in quotas
            ),
            *reclaimed,
        )
        return Pending(view.book.end, record, quotas, records)

    def _due_quotas(self, live: frozenset[str], is_home: bool) -> dict[str, Quota]:
        targets = {team: self._target(team, live) for team in self.view.prepaid}
        due = {
            team: target.quota
            for team, target in targets.items()
            if self._is_change_due(team, target, is_home)
        }
        return due | self._used_without_budget()

    def _used_without_budget(self) -> dict[str, Quota]:
        """Return quotas that cover reserves in use of teams without a budget now."""
        view = self.view
        return {
            team: view.quota(team)._replace(unwitnessed=account.used)
            for team, account in view.accounts.items()
            if team not in view.prepaid and self._is_reserve_used(team)
        }

    def _is_reserve_used(self, team: str) -> bool:
        """Return whether more is spent or reserved than is allowed without witnesses.

        The witnesses opened the reserve of the current epoch. They prove the reserve of
        the next one unopened, so that its append has to raise the unwitnessed part to
        what is used: others would take the reserve for unspent once this holder dies.
        """
        return self.view.account(team).used > self.view.quota(team).unwitnessed

    def _target(self, team: str, live: frozenset[str]) -> QuotaTarget:
        account = self.view.account(team)
        now = self.view.clock()
        size = self.view.size_quota(team, live)
        ceiling, unwitnessed = size.ceiling, size.unwitnessed
        if self.is_closing:
            ceiling = unwitnessed = account.used
        rate = min(MAX_TOKENS, int(account.rate(now)))
        requested = account.requested_within(size.pool, now)
        lacking = account.waiting_within(size.pool) + requested - account.free
        return QuotaTarget(Quota(ceiling, unwitnessed, account.spent, rate), lacking)

    def _is_change_due(self, team: str, target: QuotaTarget, is_home: bool) -> bool:
        """Return whether a change is worth a record.

        While closing, any change is except of the rate alone. If waiting calls lack
        tokens, or a reserve is in use, any increase is, however small.
        """
        quota, known = target.quota, self.view.quota(team)
        if self.is_closing:
            return quota != known._replace(rate=quota.rate)
        if self._is_reserve_used(team):
            return True
        if target.lacking > 0 and quota.unwitnessed > known.unwitnessed:
            return True
        return _is_significant(quota, known, is_home)

    def _reclaimed(self, live: frozenset[str]) -> tuple[tuple[str, bytes], ...]:
        """Return the quotas of dead holders, less reserves proved unspent."""
        view = self.view
        records: list[tuple[str, bytes]] = []
        for holder, holder_record in view.book.holders.items():
            if holder == view.holder or holder in live:
                continue
            quotas = reclaimable(view.book, holder)
            if not quotas:
                continue
            if not is_unopened(holder_record, view.witnesses.of(holder)):
                view.witnesses.fence(holder, holder_record)
                continue
            log_decision(
                "reserve reclaimed",
                holder=holder,
                epoch=holder_record.epoch,
                teams=len(quotas),
            )
            records.extend(
                (team + SEPARATOR + holder, encode(quota))
                for team, quota in quotas.items()
            )
        return tuple(records)


def _is_significant(quota: Quota, known: Quota, is_home: bool) -> bool:
    """Return whether a change is large enough to be written.

    An entry that is not the home spends tokens that the home has transferred and
    already counts as spent. Its records would only compete for the log's end, unless it
    still has a quota of its own.
    """
    step = max(1, (known.unwitnessed - known.spent) // SPENDABLE_STEP)
    ceiling_step = max(step, (known.ceiling - known.spent) // CEILING_STEP)
    is_size_changed = (
        abs(quota.ceiling - known.ceiling) >= ceiling_step
        or abs(quota.unwitnessed - known.unwitnessed) >= step
    )
    has_quota = is_home or known != NO_QUOTA
    return is_size_changed or (has_quota and abs(quota.spent - known.spent) >= step)
