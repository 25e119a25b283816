"""One request from admission to its bill, apart from the caller's connection.

The caller may leave at any time; what was dispatched is followed to its end
and billed all the same. Further attempts are made only if the earlier one is
proved not run, or the work is idempotent, within the retry budget and the
deadline.
"""

from asyncio import Task
from logging import getLogger
from time import monotonic

from clementinebend_declarations.models import ServiceKind
from clementinebend_entry.answer_output import AnswerOutput
from clementinebend_entry.calls import Call
from clementinebend_entry.claimed_calls import ClaimedCall
from clementinebend_entry.conclusions import conclude
from clementinebend_entry.following import Follower
from clementinebend_entry.joining import join, join_earlier
from clementinebend_entry.metrics import RETRIES, RUNS
from clementinebend_entry.outcomes import Refusal, Trouble, Unknown
from clementinebend_entry.pieces import Whole
from clementinebend_entry.pointer_desk import Standing
from clementinebend_entry.run_account import RunAccount
from clementinebend_entry.run_opening import run_start, ticket_for
from clementinebend_entry.run_results import (
    RunBroke,
    RunResult,
    RunWhole,
)
from clementinebend_entry.services import Services
from clementinebend_entry.sidecar_link import SidecarLink
from clementinebend_records.identifiers import RunId, new_run_id
from clementinebend_records.messages import RunCancel, Ticket
from clementinebend_records.reasons import NotRun
from clementinebend_routing.choice import Choice, NoChoice

logger = getLogger(__name__)

LINK_PATIENCE_S = 2.0
"""How long idempotent work waits for its sidecar's link before it runs again."""

SCOPE_PATIENCE_S = 1.0
"""How long a request waits for a new sidecar to be in scope."""


class Execution:
    """Runs one call; ``output`` holds what its caller is to get."""

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
        self.waits_for_budget = False
        self.dispatched = False
        self.abandoned = False
        self.ended = False
        self.scope_deadline = monotonic() + SCOPE_PATIENCE_S
        self.task: Task[None] | None = None

    async def run(self) -> None:
        """Take the call through admission and its attempts."""
        gate = self.services.gate
        refusal = await gate.enter(self.request, self.call)
        if refusal is not None:
            await self.give_up(refusal)
            return
        try:
            while not self.ended:
                await self.attempt()
        except Exception:
            logger.exception("an execution failed; its reservation stays")
            self.account.reservation = None
            self.tell(Unknown("this entry failed"))
        finally:
            self.account.withdraw()
            if not self.dispatched:
                self.claim.void()
                self.drop_pointer()
            if self.account.tokens:
                gate.leave(self.request, self.account.tokens)
            else:
                gate.leave_unrun(self.request)

    def abandon(self) -> None:
        """Take in that the caller does not wait any more."""
        self.abandoned = True
        if not self.dispatched:
            if self.task is not None:
                self.task.cancel()
            return
        may_stop = self.call.kind is ServiceKind.MODEL and not self.call.has_key
        if may_stop and self.follower is not None:
            self.follower.link.post(RunCancel(self.follower.run))

    # One attempt.

    async def attempt(self) -> None:
        """Choose an endpoint, reserve, and dispatch; then take the result.

        An earlier run of the key is joined before anything is reserved: that
        needs no budget, and "not run" must not be said of a key that runs.
        """
        if await self.is_answered():
            return
        unsafe = self.services.receipts.unsafe_zone(self.call)
        chosen = self.services.router.choose(self.call, self.exclude, unsafe)
        if isinstance(chosen, NoChoice):
            if await self.is_scope_coming():
                return
            reason = NotRun.LOG_UNAVAILABLE if unsafe else NotRun.NO_ENDPOINT
            await self.give_up(self.refusal or Refusal(reason, chosen.retry_after_ms))
            return
        link, choice = chosen
        standing = await self.place_pointer(choice.endpoint)
        if standing is not None:
            await join(self, standing)
            return
        self.waits_for_budget = True
        refusal = await self.account.reserve(self.run_id)
        self.waits_for_budget = False
        if refusal is not None:
            await self.give_up(refusal)
            return
        ticket = self.ticket(link)
        if ticket is None:
            return
        if await self.is_claimed():
            await self.dispatch(link, choice, ticket)

    async def is_scope_coming(self) -> bool:
        """Wait a short time for an endpoint whose scope is being logged."""
        services, call = self.services, self.call
        deadline = min(call.deadline, self.scope_deadline)
        if not services.router.is_pending(call) or monotonic() >= deadline:
            return False
        return await services.ledger.until_changed(deadline)

    def ticket(self, link: SidecarLink) -> Ticket | None:
        """Return the ticket for a sidecar, or None if it cannot be used now."""
        reservation, peer = self.account.reservation, link.peer
        ledger = self.services.ledger
        if reservation is None or peer is None:
            return None
        if reservation.holder != ledger.incarnation:
            self.account.withdraw()
            return None
        if not ledger.is_witness(self.call.budget, peer.incarnation):
            return None
        return ticket_for(reservation, peer)

    async def place_pointer(self, endpoint: str) -> Standing | None:
        """Point others to this run; return an earlier run's pointer, if any."""
        if not self.call.has_key:
            return None
        return await self.services.pointers.put(self.call, self.run_id, endpoint)

    async def is_answered(self) -> bool:
        """Answer a retry of a claimed call from its record, if there is one."""
        if self.call.idempotent or self.claim.is_won:
            return False
        piece = self.claim.recorded()
        if piece is not None:
            self.end(piece)
        return piece is not None

    async def is_claimed(self) -> bool:
        """Win the claim of a call that may run at most once."""
        if self.call.idempotent or self.claim.is_won:
            return True
        trouble = await self.claim.win(self.run_id)
        if trouble is None:
            return True
        if isinstance(trouble, Refusal):
            await self.give_up(trouble)
        else:
            self.account.withdraw()
            self.drop_pointer()
            self.end(trouble)
        return False

    async def dispatch(self, link: SidecarLink, choice: Choice, ticket: Ticket) -> None:
        """Send the run to its sidecar and follow it to its end."""
        call, router = self.call, self.services.router
        start = run_start(call, self.run_id, ticket)
        self.follower = Follower(
            link, ticket.sidecar, start, call.deadline, self.output
        )
        self.dispatched = True
        began = monotonic()
        router.on_start(choice, self.run_id)
        result = await self.follower.follow(self.link_patience())
        ok = isinstance(result, RunWhole)
        router.on_end(choice.endpoint, self.run_id, ok, monotonic() - began)
        RUNS.labels(type(result).__name__).inc()
        await conclude(result, self)

    def link_patience(self) -> float:
        """Return for how long a broken link is waited for, in seconds."""
        left = max(0.0, self.call.deadline - monotonic())
        return min(LINK_PATIENCE_S, left / 2) if self.call.idempotent else left

    # Results; see ``conclusions``.

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

    # Ends.

    async def give_up(self, refusal: Refusal) -> None:
        """End a call that is proved not run, or whose last attempt is."""
        self.account.withdraw()
        self.drop_pointer()
        if await join_earlier(self):
            return
        trouble = self.account.trouble() or self.earlier
        await self.claim.confirm()
        self.end(trouble or refusal)
        if trouble is None:
            self.claim.void()

    def end(self, outcome: Trouble | Whole) -> None:
        """End without a whole answer of a run of this execution."""
        self.account.resolve()
        self.ended = True
        self.tell(outcome)

    def tell(self, outcome: Trouble | Whole) -> None:
        """Hand the outcome to the one who answers the caller."""
        if isinstance(outcome, Refusal):
            outcome = self.claim.honest(outcome)
        self.output.finish(outcome)

    def drop_pointer(self) -> None:
        """Remove the pointer to a run that gives no answer."""
        if self.call.has_key:
            self.services.pointers.drop(self.call.key, self.run_id)
