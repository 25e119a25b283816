"""What has become of one call so far, and what may still be done with it.

Owned by the call's ``Execution``, whose task alone changes it.
"""

from time import monotonic

from clementinebend_entry.answer_output import AnswerOutput
from clementinebend_entry.calls import Call
from clementinebend_entry.claimed_calls import ClaimedCall
from clementinebend_entry.following import Follower
from clementinebend_entry.metrics import RETRIES
from clementinebend_entry.outcomes import Refusal, Trouble
from clementinebend_entry.pieces import Whole
from clementinebend_entry.run_account import RunAccount
from clementinebend_entry.run_results import RunBroke, RunResult, RunWhole
from clementinebend_entry.services import Services
from clementinebend_records.identifiers import RunId, new_run_id


class CallState:
    """One call; ``output`` holds what its caller is to get."""

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
        self.earlier: Trouble | None = None
        self.has_looked = False
        self.dispatched = False
        self.abandoned = False
        self.ended = False

    def lose(self, result: RunResult) -> None:
        """Go on under another run id; the key may still bear this run's cost."""
        if self.follower is not None:
            self.account.lose(result, self.follower)
        self.run_id = new_run_id()

    def settle(self, result: RunWhole | RunBroke) -> None:
        """Bill the key with a run's receipt."""
        if self.follower is not None:
            self.account.settle(result, self.follower)

    def may_try_again(self, cause: str, is_free: bool = False) -> bool:
        """Return whether another attempt is allowed; it is then counted."""
        if self.follower is not None:
            self.exclude = self.exclude | {self.follower.link.name}
        if self.abandoned or monotonic() >= self.call.deadline:
            return False
        if not is_free and not self.services.gate.may_retry(self.call.team):
            return False
        RETRIES.labels(cause).inc()
        return True

    def note_leaving(self) -> None:
        """Send no new work to an endpoint that refuses since it is leaving."""
        if self.follower is not None:
            self.services.router.note_leaving(self.follower.link.name, True)

    def zone_of_sidecar(self) -> str:
        """Return the availability zone of the sidecar that executed the run."""
        peer = self.follower.link.peer if self.follower is not None else None
        return self.services.router.zone if peer is None else peer.zone

    def end(self, outcome: Trouble | Whole) -> None:
        """End without a whole answer of a run of this call."""
        self.account.resolve()
        self.ended = True
        self.tell(outcome)

    def tell(self, outcome: Trouble | Whole) -> None:
        """Hand the outcome to the one who answers the caller."""
        if isinstance(outcome, Refusal):
            outcome = self.claim.checked_refusal(outcome)
        self.output.finish(outcome)

    def drop_pointer(self) -> None:
        """Remove the pointer to a run that gives no answer."""
        if self.call.has_key:
            self.services.pointers.drop(self.call.key, self.run_id)
