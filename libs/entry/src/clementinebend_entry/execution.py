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
from clementinebend_entry.call_state import CallState
from clementinebend_entry.calls import Call
from clementinebend_entry.conclusions import conclude
from clementinebend_entry.following import Follower
from clementinebend_entry.joining import join, join_earlier
from clementinebend_entry.metrics import RUNS
from clementinebend_entry.outcomes import Refusal, Unknown
from clementinebend_entry.pointer_client import ExistingRun
from clementinebend_entry.run_opening import run_start, ticket_for
from clementinebend_entry.run_results import (
    RunWhole,
)
from clementinebend_entry.services import Services
from clementinebend_entry.sidecar_link import SidecarLink
from clementinebend_records.messages import RunCancel, Ticket
from clementinebend_records.reasons import NotRun
from clementinebend_routing.choice import Choice, NoEndpoint

logger = getLogger(__name__)

LINK_PATIENCE_S = 2.0
"""How long idempotent work waits for its sidecar's link before it runs again."""

SCOPE_PATIENCE_S = 1.0
"""How long a request waits for a new sidecar to be in scope."""


class Execution(CallState):
    """Runs one call; its task owns the call's state."""

    def __init__(self, services: Services, call: Call) -> None:
        super().__init__(services, call)
        self.waits_for_budget = False
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
        if isinstance(chosen, NoEndpoint):
            if await self.is_scope_coming():
                return
            reason = NotRun.LOG_UNAVAILABLE if unsafe else NotRun.NO_ENDPOINT
            await self.give_up(self.refusal or Refusal(reason, chosen.retry_after_ms))
            return
        link, choice = chosen
        existing_run = await self.place_pointer(choice.endpoint)
        if existing_run is not None:
            await self.go_on(await join(self, existing_run))
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

    async def place_pointer(self, endpoint: str) -> ExistingRun | None:
        """Point others to this run; return an earlier run's pointer, if any."""
        if not self.call.has_key:
            return None
        return await self.services.pointers.put(self.call, self.run_id, endpoint)

    async def is_answered(self) -> bool:
        """Answer a retry of a claimed call from its record, if there is one."""
        if self.call.idempotent or self.claim.is_won:
            return False
        piece = self.claim.recorded_answer()
        if piece is not None:
            self.end(piece)
        return piece is not None

    async def is_claimed(self) -> bool:
        """Win the claim of a call that may run at most once."""
        if self.call.idempotent or self.claim.is_won:
            return True
        trouble = await self.claim.acquire(self.run_id)
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
        await self.go_on(await conclude(result, self))

    def link_patience(self) -> float:
        """Return for how long a broken link is waited for, in seconds."""
        left = max(0.0, self.call.deadline - monotonic())
        return min(LINK_PATIENCE_S, left / 2) if self.call.idempotent else left

    # Ends.

    async def go_on(self, refusal: Refusal | None) -> None:
        """Give the call up if there is a refusal; else it has ended or goes on."""
        if refusal is not None:
            await self.give_up(refusal)

    async def give_up(self, refusal: Refusal) -> None:
        """End a call that is proved not run, or whose last attempt is."""
        self.account.withdraw()
        self.drop_pointer()
        joined = await join_earlier(self)
        if joined is not None:
            await self.give_up(joined)
        if self.ended:
            return
        trouble = self.account.trouble() or self.earlier
        await self.claim.confirm_refusal()
        self.end(trouble or refusal)
        if trouble is None:
            self.claim.void()
