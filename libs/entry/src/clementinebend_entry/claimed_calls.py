"""Claim handling of one call that may run at most once."""

from json import dumps
from time import monotonic

from clementinebend_entry.answers import JSON, error_body
from clementinebend_entry.calls import Call
from clementinebend_entry.claims import ClaimsClient
from clementinebend_entry.metrics import ATTACHMENTS
from clementinebend_entry.outcomes import Failed, Refusal, Unknown
from clementinebend_entry.pieces import Whole
from clementinebend_ledger.claims import ClaimConflict, ClaimLost, ClaimWon
from clementinebend_records.identifiers import RunId
from clementinebend_records.reasons import NotRunReason

BAD_GATEWAY = 502
CONFIRM_TIMEOUT_S = 0.5
"""How long a refusal may be delayed to read the log up to now."""

SETTLE_TIMEOUT_S = 1.0
"""How long a call waits for another run's claim to be freed or answered.

A claim that was abandoned during an outage is still appended once the log is
back, and freed by the next append of its writer: 0.04 s later, or a few of the
writer's back-offs of 0.1 s.
"""


class ClaimedCall:
    """The claim of one call; idempotent calls do not need one."""

    def __init__(self, claims_client: ClaimsClient, call: Call) -> None:
        self.claims_client = claims_client
        self.call = call
        self.run: RunId | None = None
        self.is_won = False

    def recorded_answer(self) -> Whole | Refusal | None:
        """Return the recorded answer of an earlier call of this key, if any."""
        view = self.claims_client.claim_of(self.call.key)
        if view is None:
            return None
        if view.body_digest != self.call.body_digest:
            return Refusal(NotRunReason.KEY_CONFLICT, 0)
        if view.answer is None:
            return None
        ATTACHMENTS.labels("recorded").inc()
        return Whole(*view.answer)

    async def acquire(self, run: RunId) -> Refusal | Unknown | Whole | None:
        """Claim the call for a run; return None on success, else the outcome."""
        key = self.call.key
        if not self.claims_client.can_claim(key):
            return self.log_unavailable()
        self.run = run
        verdict = await self.claims_client.claim(
            key, self.call.body_digest, run, self.call.deadline
        )
        match verdict:
            case ClaimWon():
                self.is_won = True
                return None
            case ClaimLost():
                self.run = None
                await self.wait_until_settled()
                if self.claims_client.claim_of(key) is None:
                    return await self.acquire(run)
                return self.recorded_answer() or self.unknown_outcome()
            case ClaimConflict():
                self.run = None
                return Refusal(NotRunReason.KEY_CONFLICT, 0)
            case _:
                return self.log_unavailable()

    def log_unavailable(self) -> Refusal:
        """Return the refusal for a call that cannot be claimed at present."""
        return Refusal(
            NotRunReason.LOG_UNAVAILABLE,
            self.claims_client.retry_after_ms(self.call.key),
        )

    async def confirm_refusal(self) -> None:
        """Read the log up to now before a call of this key is refused.

        Posts a void record of an unused run and waits until it is read back;
        every claim that precedes it in the log is then known here. While the log
        is unavailable, only the records read so far are considered. If another
        run's claim is found, it may be about to be freed, so wait for that too.
        """
        call = self.call
        if call.idempotent or not call.has_idempotency_key:
            return
        if self.run is None and self.claims_client.can_claim(call.key):
            await self.claims_client.read_up_to_now(call.key, CONFIRM_TIMEOUT_S)
        await self.wait_until_settled()

    async def wait_until_settled(self) -> None:
        """Wait for another run's claim to be freed or its answer to be recorded."""
        remaining_s = max(0.0, self.call.deadline - monotonic())
        timeout_s = min(SETTLE_TIMEOUT_S, remaining_s)
        await self.claims_client.wait_until_settled(self.call.key, self.run, timeout_s)

    def checked_refusal(self, refusal: Refusal) -> Refusal | Unknown | Whole:
        """Return the outcome to report in place of a refusal.

        A refusal tells the caller that the call did not run, which is true only
        if no other run has claimed the key.
        """
        view = self.claims_client.claim_of(self.call.key)
        if self.call.idempotent or view is None or view.run == self.run:
            return refusal
        return self.recorded_answer() or self.unknown_outcome()

    def unknown_outcome(self) -> Unknown:
        """Return the outcome of a retry while no answer is recorded."""
        return Unknown("an earlier call of this key may have run")

    def record(self, status: int, content_type: str, body: bytes) -> None:
        """Record the answer so that retries receive it."""
        if self.is_won and self.run is not None:
            self.claims_client.record(
                self.call.key, self.run, status, content_type, body
            )

    def record_failure(self, message: str) -> None:
        """Record that the call ran and failed."""
        body = dumps({"error": error_body(Failed(message))}).encode()
        self.record(BAD_GATEWAY, JSON, body)

    def void(self) -> None:
        """Release the key of a call that did not run; its claim cannot win later."""
        if self.run is not None:
            self.claims_client.void(self.call.key, self.run)
            self.run = None
            self.is_won = False
