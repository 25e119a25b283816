"""Mutable state of one call across its attempts.

Owned by the call's ``Execution``; only its task modifies the state.
"""

from logging import getLogger
from time import monotonic

from clementinebend_entry.answer_output import AnswerOutput
from clementinebend_entry.calls import Call
from clementinebend_entry.claimed_calls import ClaimedCall
from clementinebend_entry.following import Follower
from clementinebend_entry.metrics import RETRIES
from clementinebend_entry.outcomes import ErrorOutcome, Refusal
from clementinebend_entry.pieces import Whole
from clementinebend_entry.run_account import RunAccount
from clementinebend_entry.run_results import RunBroke, RunResult, RunWhole
from clementinebend_entry.services import Services
from clementinebend_records.identifiers import RunId, new_run_id

logger = getLogger(__name__)


class CallState:
    """The state of one call; ``output`` collects the answer for its caller."""

    def __init__(self, services: Services, call: Call) -> None:
        self.services = services
        self.call = call
        self.output = AnswerOutput(call.stream)
        self.request = new_run_id()
        self.run_id: RunId = self.request
        self.account = RunAccount(services, call)
        self.follower: Follower | None = None
        self.exclude: frozenset[str] = frozenset()
        self.refusal: Refusal | None = None
        self.claim = ClaimedCall(services.claims, call)
        self.joined_outcome: ErrorOutcome | None = None
        self.has_checked_pointer = False
        self.dispatched = False
        self.abandoned = False
        self.ended = False

    def lose(self, result: RunResult) -> None:
        """Continue under a new run id; this run's cost may still be charged."""
        if self.follower is not None:
            logger.warning(
                "run lost",
                extra={
                    "run": self.run_id,
                    "key": str(self.call.key),
                    "endpoint": self.follower.link.name,
                    "result": type(result).__name__,
                    "problem": getattr(result, "message", ""),
                },
            )
            self.account.lose(result, self.follower)
        self.run_id = new_run_id()

    def settle(self, result: RunWhole | RunBroke) -> None:
        """Bill the call's key with a run's receipt."""
        if self.follower is not None:
            self.account.settle(result, self.follower)

    def consume_retry(self, cause: str, is_free: bool = False) -> bool:
        """Return whether another attempt is allowed, and count it if so.

        A free attempt is not charged to the team's retry budget.
        """
        if self.follower is not None:
            self.exclude = self.exclude | {self.follower.link.name}
        if self.abandoned or monotonic() >= self.call.deadline:
            return False
        if not is_free and not self.services.gate.may_retry(self.call.team):
            return False
        RETRIES.labels(cause).inc()
        return True

    def note_leaving(self) -> None:
        """Stop sending new work to an endpoint that refused because it is leaving."""
        if self.follower is not None:
            self.services.router.note_leaving(self.follower.link.name, True)

    def sidecar_zone(self) -> str:
        """Return the availability zone of the sidecar that executed the run."""
        peer = self.follower.link.peer if self.follower is not None else None
        return self.services.router.zone if peer is None else peer.zone

    def end(self, outcome: ErrorOutcome | Whole) -> None:
        """End the call without a complete answer from one of its own runs."""
        self.account.resolve()
        self.ended = True
        self.tell(outcome)

    def tell(self, outcome: ErrorOutcome | Whole) -> None:
        """Pass the outcome to the output, from which the caller is answered."""
        if isinstance(outcome, Refusal):
            outcome = self.claim.checked_refusal(outcome)
        self.output.finish(outcome)

    def drop_pointer(self) -> None:
        """Remove the pointer to a run that will produce no answer."""
        if self.call.has_idempotency_key:
            self.services.pointers.drop(self.call.key, self.run_id)
