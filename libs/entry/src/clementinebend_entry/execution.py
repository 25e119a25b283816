"""Executes one request from admission to billing.

Execution is independent of the caller's connection: if the caller
disconnects, a dispatched run is still followed to its end and billed. A
request is retried only if the previous attempt is proved not to have run or
the work is idempotent, within the retry budget and the deadline.
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
from clementinebend_entry.run_opening import build_run_start, build_ticket
from clementinebend_entry.run_results import (
    RunWhole,
)
from clementinebend_entry.services import Services
from clementinebend_entry.sidecar_link import SidecarLink
from clementinebend_records.messages import RunCancel, Ticket
from clementinebend_records.reasons import NotRunReason
from clementinebend_routing.choice import Choice, NoEndpoint

logger = getLogger(__name__)

LINK_TIMEOUT_S = 2.0
"""How long idempotent work waits for a broken sidecar link before a retry."""

SCOPE_TIMEOUT_S = 1.0
"""How long a request waits until a new sidecar is in scope."""


class Execution(CallState):
    """Executes one call in a task that owns the call's state."""

    def __init__(self, services: Services, call: Call) -> None:
        super().__init__(services, call)
        self.waits_for_budget = False
        self.scope_deadline = monotonic() + SCOPE_TIMEOUT_S
        self.task: Task[None] | None = None

    async def run(self) -> None:
        """Admit the call, then make attempts until it has ended."""
        gate = self.services.gate
        refusal = await gate.enter(self.request, self.call)
        if refusal is not None:
            await self.give_up(refusal)
            return
        try:
            while not self.ended:
                await self.attempt()
        except Exception:
            logger.exception("unhandled error in a call; its reservation is kept")
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
                gate.leave_not_run(self.request)

    def abandon(self) -> None:
        """Cancel what can be cancelled; the caller no longer waits.

        A dispatched run is cancelled only for a model call without an
        idempotency key, whose answer cannot be fetched by a retry.
        """
        self.abandoned = True
        if not self.dispatched:
            if self.task is not None:
                self.task.cancel()
            return
        may_stop = (
            self.call.kind is ServiceKind.MODEL and not self.call.has_idempotency_key
        )
        if may_stop and self.follower is not None:
            self.follower.link.post(RunCancel(self.follower.run))

    # Attempts

    async def attempt(self) -> None:
        """Choose an endpoint, reserve tokens, dispatch, and handle the result.

        An earlier run of the key is joined before tokens are reserved: joining
        needs no budget, and a key with a run in progress must not be reported
        as "not run".
        """
        if await self.answer_from_record():
            return
        unsafe = self.services.receipts.unsafe_zone(self.call)
        chosen = self.services.router.choose(self.call, self.exclude, unsafe)
        if isinstance(chosen, NoEndpoint):
            if await self.wait_for_scope():
                return
            reason = (
                NotRunReason.LOG_UNAVAILABLE if unsafe else NotRunReason.NO_ENDPOINT
            )
            await self.give_up(self.refusal or Refusal(reason, chosen.retry_after_ms))
            return
        link, choice = chosen
        existing_run = await self.place_pointer(choice.endpoint)
        if existing_run is not None:
            await self.give_up_if_refused(await join(self, existing_run))
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
        if await self.acquire_claim():
            await self.dispatch(link, choice, ticket)

    async def wait_for_scope(self) -> bool:
        """Wait briefly for an endpoint whose scope is being logged.

        Return whether the attempt should be repeated.
        """
        services, call = self.services, self.call
        deadline = min(call.deadline, self.scope_deadline)
        if not services.router.is_pending(call) or monotonic() >= deadline:
            return False
        return await services.ledger.until_changed(deadline)

    def ticket(self, link: SidecarLink) -> Ticket | None:
        """Return the ticket for a sidecar, or None if it is not usable now."""
        reservation, peer = self.account.reservation, link.peer
        ledger = self.services.ledger
        if reservation is None or peer is None:
            return None
        if reservation.holder != ledger.incarnation:
            self.account.withdraw()
            return None
        if not ledger.is_witness(self.call.budget, peer.incarnation):
            return None
        return build_ticket(reservation, peer)

    async def place_pointer(self, endpoint: str) -> ExistingRun | None:
        """Publish a pointer to this run; return that of an earlier run, if any."""
        if not self.call.has_idempotency_key:
            return None
        return await self.services.pointers.put(self.call, self.run_id, endpoint)

    async def answer_from_record(self) -> bool:
        """Answer a retry of a claimed call from its record; return if it did."""
        if self.call.idempotent or self.claim.is_won:
            return False
        piece = self.claim.recorded_answer()
        if piece is not None:
            self.end(piece)
        return piece is not None

    async def acquire_claim(self) -> bool:
        """Win the claim of a call that may run at most once.

        Return whether the call may run; if not, it has been given up or ended.
        """
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
        """Send the run to its sidecar, follow it, and handle its result."""
        call, router = self.call, self.services.router
        start = build_run_start(call, self.run_id, ticket)
        self.follower = Follower(
            link, ticket.sidecar, start, call.deadline, self.output
        )
        self.dispatched = True
        started_at = monotonic()
        router.on_start(choice, self.run_id)
        result = await self.follower.follow(self.link_timeout())
        ok = isinstance(result, RunWhole)
        router.on_end(choice.endpoint, self.run_id, ok, monotonic() - started_at)
        RUNS.labels(type(result).__name__).inc()
        await self.give_up_if_refused(await conclude(result, self))

    def link_timeout(self) -> float:
        """Return how long to wait for a broken link, in seconds."""
        left = max(0.0, self.call.deadline - monotonic())
        return min(LINK_TIMEOUT_S, left / 2) if self.call.idempotent else left

    # End of the call

    async def give_up_if_refused(self, refusal: Refusal | None) -> None:
        """Give up the call if it was refused; otherwise do nothing."""
        if refusal is not None:
            await self.give_up(refusal)

    async def give_up(self, refusal: Refusal) -> None:
        """End a call whose last attempt is proved not to have run.

        If another run of its key is found, the call joins that run instead.
        """
        self.account.withdraw()
        self.drop_pointer()
        joined = await join_earlier(self)
        if joined is not None:
            await self.give_up(joined)
        if self.ended:
            return
        trouble = self.account.trouble() or self.joined_outcome
        await self.claim.confirm_refusal()
        self.end(trouble or refusal)
        if trouble is None:
            self.claim.void()
