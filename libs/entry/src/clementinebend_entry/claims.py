"""Client of the claims shards of the log, with this entry's replayed view of them.

A claim is won once it is read back as the first claim of its key. While the
log is unreachable, no call can be claimed, so none runs.
"""

from asyncio import Event, Future, get_running_loop, timeout_at, wait

from clementinebend_entry.budget_waits import MAX_LOG_OUTAGE_S, outage_retry_ms
from clementinebend_entry.metrics import CLAIMS
from clementinebend_entry.shard import ClaimsShard, LogSettings, claims_shard
from clementinebend_ledger.claims import (
    ClaimConflict,
    ClaimFreed,
    ClaimLost,
    ClaimRecorded,
    ClaimRefused,
    ClaimsOutcome,
    ClaimView,
    ClaimWon,
    claim_of,
)
from clementinebend_records.identifiers import (
    Incarnation,
    RequestKey,
    RunId,
    new_run_id,
)
from clementinebend_records.records import (
    Claim,
    ClaimOutcome,
    ClaimVoid,
    Record,
)
from clementinebend_records.streams import claims_stream, claims_streams

POLL_INTERVAL_S = 0.1
"""How often a waiting claim checks whether the log has failed."""

ClaimVerdict = ClaimWon | ClaimLost | ClaimConflict | ClaimRefused


class ClaimsClient:
    """Claims calls and records their outcomes."""

    def __init__(self, claimant: Incarnation, shards: int, log: LogSettings) -> None:
        self.claimant = claimant
        self.shard_count = shards
        self.waiting: dict[RunId, Future[ClaimVerdict]] = {}
        self.settled = Event()
        self.shards = {
            stream: claims_shard(stream, log, self.on_outcome)
            for stream in claims_streams(shards)
        }

    def shard_for(self, key: RequestKey) -> ClaimsShard:
        """Return the shard that stores the claims of a key."""
        return self.shards[claims_stream(key, self.shard_count)]

    def can_claim(self, key: RequestKey) -> bool:
        """Return whether the log is reachable, so that a claim can be attempted."""
        shard = self.shard_for(key)
        is_readable = shard.tail.ready.is_set() and not shard.tail.failures
        return is_readable and shard.writer.failing_since is None

    def retry_after_ms(self, key: RequestKey) -> int:
        """Return the retry delay of a call refused because the log is unavailable."""
        shard = self.shard_for(key)
        last_read_at = shard.tail.caught_up_at
        failing = shard.tail.failures or shard.writer.failing_since is not None
        if last_read_at is None or not failing:
            return outage_retry_ms(0.0)
        return outage_retry_ms(get_running_loop().time() - last_read_at)

    def claim_of(self, key: RequestKey) -> ClaimView | None:
        """Return the current claim of a key in the records read so far."""
        return claim_of(self.shard_for(key).state, key)

    async def claim(
        self, key: RequestKey, body_digest: str, run: RunId, deadline: float
    ) -> ClaimVerdict | None:
        """Claim a call and return the verdict, or None if it is not read back.

        The claim is abandoned at the deadline, or as soon as the log has failed
        for ``LOG_PATIENCE_S``. The run is then never started, even if a later
        replay shows that the claim was won.
        """
        verdict: Future[ClaimVerdict] = get_running_loop().create_future()
        self.waiting[run] = verdict
        self.post(key, Claim(key, body_digest, self.claimant, run))
        try:
            is_decided = await self.wait_for_verdict(key, verdict, deadline)
        finally:
            del self.waiting[run]
        if not is_decided:
            CLAIMS.labels("not_read_back").inc()
            return None
        answer = verdict.result()
        CLAIMS.labels(type(answer).__name__).inc()
        return answer

    async def wait_for_verdict(
        self, key: RequestKey, verdict: "Future[ClaimVerdict]", deadline: float
    ) -> bool:
        """Wait for a verdict; return false if the claim is abandoned first."""
        loop, shard = get_running_loop(), self.shard_for(key)
        while not verdict.done():
            now = loop.time()
            is_failing = shard.failing_for(now) > MAX_LOG_OUTAGE_S
            if is_failing or now >= deadline:
                return False
            await wait((verdict,), timeout=min(deadline - now, POLL_INTERVAL_S))
        return True

    def on_outcome(self, outcome: ClaimsOutcome) -> None:
        """Pass a verdict to the waiting claim, or signal that a claim was settled."""
        if isinstance(outcome, ClaimWon | ClaimLost | ClaimConflict | ClaimRefused):
            verdict = self.waiting.get(outcome.run)
            if verdict is not None and not verdict.done():
                verdict.set_result(outcome)
        elif isinstance(outcome, ClaimFreed | ClaimRecorded):
            self.settled.set()
            self.settled = Event()

    async def wait_until_settled(
        self, key: RequestKey, run: RunId | None, timeout_s: float
    ) -> None:
        """Wait until another run's claim is freed or its answer is recorded.

        Returns after ``timeout_s`` seconds at the latest, and immediately if no
        run other than ``run`` holds a claim.
        """
        deadline = get_running_loop().time() + timeout_s
        try:
            async with timeout_at(deadline):
                while self._is_claimed_by_another(key, run):
                    await self.settled.wait()
        except TimeoutError:
            CLAIMS.labels("not_settled").inc()

    def _is_claimed_by_another(self, key: RequestKey, run: RunId | None) -> bool:
        view = self.claim_of(key)
        return view is not None and view.answer is None and view.run != run

    async def read_up_to_now(self, key: RequestKey, timeout_s: float) -> None:
        """Wait until all claims of a key that are already in the log have been read.

        Posts a void record of a new run and waits until it is read back, or for
        ``timeout_s`` seconds.
        """
        record = ClaimVoid(key, new_run_id(), self.claimant)
        posted = self.shard_for(key).writer.post((record,))
        await wait((posted,), timeout=timeout_s)

    def void(self, key: RequestKey, run: RunId) -> None:
        """Release the key of a call that did not run and will not be run."""
        self.post(key, ClaimVoid(key, run, self.claimant))

    def record(
        self, key: RequestKey, run: RunId, status: int, content_type: str, body: bytes
    ) -> None:
        """Record the answer that every retry receives."""
        self.post(key, ClaimOutcome(key, run, status, content_type, body))

    def post(self, key: RequestKey, record: Record) -> None:
        """Post one record to the shard of its key."""
        self.shard_for(key).writer.post((record,))

    @property
    def is_flushed(self) -> bool:
        """Whether all posted records have been read back."""
        return all(shard.is_flushed for shard in self.shards.values())

    async def close(self, timeout_s: float) -> None:
        """Flush all shards for up to ``timeout_s`` seconds each, then stop."""
        for shard in self.shards.values():
            await shard.close(timeout_s)
