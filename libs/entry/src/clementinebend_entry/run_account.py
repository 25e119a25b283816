"""The reservation of one call and the outcomes of its runs."""

from clementinebend_entry.budget_waits import Reservation
from clementinebend_entry.calls import Call
from clementinebend_entry.following import Follower
from clementinebend_entry.ledger_events import ReceiptReceived, ReservationCancelled
from clementinebend_entry.lost_runs import (
    LostRun,
    bill,
    lost_runs_error,
    release_lost,
    resolve_lost,
)
from clementinebend_entry.outcomes import Failed, Refusal, Unknown
from clementinebend_entry.run_results import RunBroke, RunResult, RunWhole
from clementinebend_entry.services import Services
from clementinebend_records.identifiers import RunId


class RunAccount:
    """Reserves, settles and cancels for one call; see ``lost_runs``."""

    def __init__(self, services: Services, call: Call) -> None:
        self.services = services
        self.call = call
        self.reservation: Reservation | None = None
        self.lost: list[LostRun] = []
        self.tokens = 0

    async def reserve(self, run: RunId) -> Refusal | None:
        """Reserve tokens for a run, unless the call has a reservation."""
        if self.reservation is not None:
            return None
        call = self.call
        answer = await self.services.ledger.reserve(
            run, call.budget, call.amount, call.deadline
        )
        if isinstance(answer, Refusal):
            return answer
        self.reservation = answer
        return None

    def withdraw(self) -> None:
        """Cancel the reservation of a run that did not take place."""
        if self.reservation is not None:
            self.services.ledger.take(ReservationCancelled(self.reservation.run))
            self.reservation = None

    def lose(self, result: RunResult, follower: Follower) -> None:
        """Record a run without an answer, whose cost may still be billed to the key."""
        if self.reservation is not None:
            lost = LostRun(self.call.key, self.reservation, follower, result)
            self.lost.append(lost)
            self.reservation = None

    def settle(self, result: RunWhole | RunBroke, follower: Follower) -> None:
        """Bill the key with a run's receipt and release all lost runs."""
        receipt = result.receipt
        self.tokens = max(1, receipt.amount)
        if self.reservation is not None:
            lost = LostRun(self.call.key, self.reservation, follower, result)
            bill(self.services, lost, receipt)
            self.reservation = None
        else:
            self.services.receipts.expect(receipt.key, receipt.run, receipt.endpoint)
            self.services.ledger.take(ReceiptReceived(receipt))
        release_lost(self.services, self.lost)
        self.lost.clear()

    def resolve(self) -> None:
        """Settle the lost runs once no further run will be started."""
        resolve_lost(self.services, self.lost)
        self.lost.clear()

    def trouble(self) -> Failed | Unknown | None:
        """Return the error that the caller gets for lost runs; None without any."""
        return lost_runs_error(self.lost) if self.lost else None
