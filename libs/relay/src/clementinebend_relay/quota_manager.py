"""Maintains this holder's quotas in one partition of the log.

One task reads the partition, computes the quotas that the holder should have, and
appends those that changed, on condition that the log still ends where it was read.
"""

from asyncio import Event, Lock, sleep, timeout
from collections.abc import Callable
from itertools import count
from random import random

from clementinebend_ledger.quota_account import QuotaAccount
from clementinebend_platform_client.keyed_log import (
    Appended,
    Conflict,
    KeyedLog,
    KeyedRecord,
    Page,
    RecordsDropped,
    StoreFailure,
)
from clementinebend_platform_client.newest_records import NewestRecords
from clementinebend_relay.decisions import log_dependency
from clementinebend_relay.metrics import quota_appends
from clementinebend_relay.quota_plan import REWRITE_SECONDS, QuotaPlan
from clementinebend_relay.quota_view import Pending, QuotaView, Shortfall

COMMIT_SECONDS = 0.5
"""Maximum pause between commits. A finished run must be settled within 1.5 s."""

STALLED_SECONDS = 0.05
"""Seconds that a commit may take before the reserve is opened for waiting calls: five
times the usual duration. The log is considered unavailable only later."""

HOME_COMMIT_INTERVAL = 0.01
"""Minimum seconds between commits of a home, so that requests that arrive meanwhile are
written together. This adds some 5 ms to a call that lacks its budget, and limits a home
to 70 appends a second."""

RETURN_INTERVAL = 2.0
"""Seconds between commits of an entry that is not the home of a partition and still has
quotas of its own there, until it has returned them."""

MIN_POSTPONED_SECONDS = 20.0
"""Minimum seconds for which an entry that is not the home postpones returning tokens
while the store is slow, and half the maximum: entries return theirs one by one."""

BORROWER_COMMIT_INTERVAL = 0.1
"""Minimum seconds between commits of an entry that is not the home, even while calls
wait: 26 of 30 entries are not the home, and the store handles 6,000 reads a second."""

STALE_READ_SECONDS = 10.0
"""Seconds since the last read after which the newest records are read instead of all
that were appended since, as homes append twice a second."""

CONFLICT_PAUSE = 0.004
"""Seconds to wait after an append conflict; one append takes that long."""

FAILURE_PAUSE = 0.2
"""Seconds to wait after a call that the store did not answer."""

SMOOTHING_WEIGHT = 0.3
"""Weight of one call in the expected duration of calls while durations fall; a longer
duration replaces the expected one at once."""


class QuotaManager:
    """Maintains the quotas of one partition of the log; owned by one task."""

    def __init__(self, view: QuotaView, log: KeyedLog) -> None:
        self.view = view
        self.log = log
        self.clock = view.clock
        self.newest = NewestRecords(log, view.clock)
        self.plan = QuotaPlan(view)
        self.offset: int | None = None
        self.unavailable_since: float | None = None
        self.call_started_at: float | None = None
        self.written_at: float | None = None
        self.answer_seconds = 0.0
        self.last_answer_seconds = 0.0
        self.return_due_at: float | None = None
        self.commit_lock = Lock()
        self.commit_requested = Event()
        self.changed = Event()
        self.is_commit_due = False
        self.on_change: Callable[[], None] | None = None
        view.witnesses.on_attestation.append(self._on_attestation)

    def account(self, team: str) -> QuotaAccount:
        """Return the account of a team; a new one holds nothing."""
        return self.view.account(team)

    def configure(self, prepaid: dict[str, int]) -> None:
        """Set the budgets, in tokens, of the teams in this partition."""
        self.view.prepaid = prepaid
        self.request_commit()

    def request_commit(self) -> None:
        """Request a commit soon, as a call waits for it."""
        self.commit_requested.set()

    def close(self) -> None:
        """Make this and all later commits return what is not used."""
        self.plan.is_closing = True
        self.request_commit()

    def is_fresh(self) -> bool:
        """Return whether the last read is recent enough for a final refusal."""
        return self.view.is_fresh()

    def notify_waiters(self) -> None:
        """Make calls that wait for their budget check it again."""
        self.changed.set()
        self.changed.clear()
        if self.on_change is not None:
            self.on_change()

    def shortfall(self, team: str, amount: int) -> Shortfall:
        """Return why ``amount`` cannot be reserved."""
        return self.view.shortfall(team, amount)

    def open_reserve(self) -> None:
        """Ask the witnesses for permission to spend the reserve."""
        for record in self.view.unopened_records():
            self.view.witnesses.open(self.view.holder, record)

    async def run(self) -> None:
        """Maintain the quotas until cancelled.

        An entry that is not the home and has no quotas neither reads nor writes: it
        borrows what it needs from the home.
        """
        while True:
            if not self._is_idle_borrower():
                await self.commit()
            await self._pause()

    def is_unavailable(self) -> bool:
        """Return whether the last call to the log failed."""
        return self.unavailable_since is not None

    def is_stalled(self) -> bool:
        """Return whether the log is unavailable or takes long to answer."""
        if self.is_unavailable():
            return True
        waited = (
            0.0 if self.call_started_at is None else self.clock() - self.call_started_at
        )
        return waited > STALLED_SECONDS

    async def commit(self) -> bool:
        """Read the log and append changed quotas; return whether that succeeded."""
        async with self.commit_lock:
            self.call_started_at = self.clock()
            try:
                return await self._commit()
            finally:
                self.call_started_at = None

    async def _commit(self) -> bool:
        for attempt in count(1):
            if (attempt > 1 or not self._knows_end()) and not await self._read():
                return False
            if self._should_postpone_return():
                return True
            pending = self.view.pending or self.plan.next_append(self.written_at)
            if pending is None:
                return True
            outcome = await self._append(pending)
            if not isinstance(outcome, Conflict):
                return isinstance(outcome, Appended)
            await sleep(CONFLICT_PAUSE * attempt * random())
        return False

    def _should_postpone_return(self) -> bool:
        """Return whether an append would only return tokens while the store is slow.

        It would compete with the appends of the home, for which calls wait. It is
        postponed for a limited time, as a store may be slow for good.
        """
        is_postponable = (
            self.view.pending is None
            and not self.view.is_home()
            and not self.plan.is_closing
            and not self.view.has_waiting_calls()
            and self.last_answer_seconds > STALLED_SECONDS
        )
        if not is_postponable:
            self.return_due_at = None
            return False
        if self.return_due_at is None:
            delay = MIN_POSTPONED_SECONDS * (1 + random())
            self.return_due_at = self.clock() + delay
        return self.clock() < self.return_due_at

    def _knows_end(self) -> bool:
        """Return whether this home used the log recently enough to know its end."""
        view = self.view
        age = view.age()
        is_recent = age is not None and age < REWRITE_SECONDS
        return view.is_home() and is_recent and view.pending is None

    async def _append(self, pending: Pending) -> Appended | Conflict | StoreFailure:
        """Append at the end that was read, and apply the outcome."""
        view = self.view
        view.pending = pending
        view.refresh_limits()
        sent_at = self.clock()
        outcome = await self.log.append(pending.records, pending.at)
        role = "home" if view.is_home() else "borrower"
        quota_appends.labels(role, _outcome_name(outcome)).inc()
        taken = self._record_answer_time(outcome, sent_at)
        view.append_seconds = _expected_seconds(view.append_seconds, taken)
        match outcome:
            case Appended():
                self.written_at = self.clock()
                numbered = enumerate(pending.records, pending.at)
                own = tuple(KeyedRecord(at, *record) for at, record in numbered)
                self._apply_page(Page(own, outcome.end_offset, True))
            case StoreFailure():
                self._on_log_failure(outcome)
        return outcome

    async def _pause(self) -> None:
        self.commit_requested.clear()
        self.is_commit_due = False
        if self.unavailable_since is not None:
            if await self._wait_for_commit_request(FAILURE_PAUSE):
                await sleep(FAILURE_PAUSE)
        elif self.plan.is_closing:
            await self._wait_for_commit_request(COMMIT_SECONDS)
        elif self.view.is_home():
            await sleep(HOME_COMMIT_INTERVAL)
            await self._wait_for_commit_request(COMMIT_SECONDS)
        else:
            await sleep(BORROWER_COMMIT_INTERVAL)
            await self._pause_as_borrower()

    async def _pause_as_borrower(self) -> None:
        """Pause until a commit is requested or due, or this entry becomes the home."""
        until = self.clock() + RETURN_INTERVAL
        while not self.view.is_home():
            if await self._wait_for_commit_request(COMMIT_SECONDS):
                self.is_commit_due = True
                return
            if self.view.has_open_quotas() and self.clock() >= until:
                return

    def _is_idle_borrower(self) -> bool:
        if (
            self.view.is_home()
            or self.plan.is_closing
            or self.unavailable_since is not None
        ):
            return False
        if self.is_commit_due or self.view.has_open_quotas():
            return False
        return not self.commit_requested.is_set()

    async def _wait_for_commit_request(self, pause: float) -> bool:
        """Pause; return true at once if a commit is requested."""
        try:
            async with timeout(pause):
                await self.commit_requested.wait()
        except TimeoutError:
            return False
        return True

    async def _read(self) -> bool:
        """Read to the end of the log; return whether that succeeded."""
        while True:
            sent_at = self.clock()
            age = self.view.age()
            if self.offset is None or age is None or age > STALE_READ_SECONDS:
                outcome: Page | RecordsDropped | StoreFailure = await self.newest.read()
            else:
                outcome = await self.log.read(self.offset, 0.0)
            self._record_answer_time(outcome, sent_at)
            match outcome:
                case Page():
                    self._apply_page(outcome)
                    if outcome.is_end:
                        return True
                case RecordsDropped():
                    self.offset = None
                case StoreFailure():
                    self._on_log_failure(outcome)
                    return False

    def _apply_page(self, page: Page) -> None:
        if self.unavailable_since is not None:
            lost_for = round(self.clock() - self.unavailable_since, 3)
            log_dependency("marks", is_lost=False, lost_for_s=lost_for)
            self.unavailable_since = None
        self.offset = page.next_offset
        self.view.take(page)
        self.notify_waiters()

    def _record_answer_time(self, outcome: object, sent_at: float) -> float:
        """Return how long a call took; record it if the log answered."""
        taken = self.clock() - sent_at
        if not isinstance(outcome, StoreFailure):
            self.last_answer_seconds = taken
            self.answer_seconds = _expected_seconds(self.answer_seconds, taken)
        return taken

    def _on_attestation(self, holder: str) -> None:
        if holder != self.view.holder:
            return
        self.view.refresh_limits()
        self.notify_waiters()

    def _on_log_failure(self, failure: StoreFailure) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = self.clock()
            log_dependency("marks", is_lost=True, problem=failure.message)


def _outcome_name(outcome: Appended | Conflict | StoreFailure) -> str:
    """Return the name of an append's outcome in the metrics."""
    match outcome:
        case Appended():
            return "appended"
        case Conflict():
            return "conflict"
        case StoreFailure():
            return "failed"


def _expected_seconds(known: float, taken: float) -> float:
    """Return the expected duration of the next call in seconds."""
    return max(taken, known + (taken - known) * SMOOTHING_WEIGHT)
