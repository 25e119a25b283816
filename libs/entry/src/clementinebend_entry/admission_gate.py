"""Owns the admission state: admits requests by team and priority."""

from asyncio import Event, Future, get_running_loop, sleep
from collections.abc import Iterable

from clementinebend_admission.queue import (
    Admitted,
    Arrival,
    Queued,
    Refused,
    arrive,
    cancel,
    empty_admission,
    expire,
    finish,
    set_capacity,
)
from clementinebend_admission.retries import may_retry, new_retry_state, on_request
from clementinebend_entry.calls import Call
from clementinebend_entry.outcomes import Refusal
from clementinebend_records.identifiers import RunId

EXPIRY_TICK_S = 0.05

Verdict = Admitted | Refused


class AdmissionGate:
    """Owns the admission queues and the retry budgets."""

    def __init__(self, retry_ratio: float) -> None:
        self.loop = get_running_loop()
        self.state = empty_admission()
        self.retries = new_retry_state(retry_ratio)
        self.waiting: dict[str, Future[Verdict]] = {}
        self.has_waiters = Event()

    async def run(self) -> None:
        """Refuse queued requests soon after their deadline, while any are queued."""
        while True:
            await self.has_waiters.wait()
            await sleep(EXPIRY_TICK_S)
            self.expire()

    async def enter(self, request: RunId, call: Call) -> Refusal | None:
        """Wait until a call is admitted; return the refusal if it is not."""
        arrival = Arrival(
            request, call.team, call.weight, call.priority, call.amount, call.deadline
        )
        now = self.loop.time()
        self.retries = on_request(self.retries, call.team, now)
        self.state, verdict = arrive(self.state, arrival, now)
        if isinstance(verdict, Queued):
            verdict = await self.wait(request)
        if isinstance(verdict, Admitted):
            return None
        return Refusal(verdict.reason, verdict.retry_after_ms)

    async def wait(self, request: RunId) -> Verdict:
        """Wait for the verdict on a queued request; cancel it if interrupted."""
        reply: Future[Verdict] = self.loop.create_future()
        self.waiting[request] = reply
        self.has_waiters.set()
        try:
            return await reply
        except BaseException:
            self.leave_not_run(request)
            raise
        finally:
            self.waiting.pop(request, None)
            if not self.waiting:
                self.has_waiters.clear()

    def leave(self, request: RunId, tokens: int) -> None:
        """Release the slot of a call that ran and cost ``tokens``."""
        self.state, admitted = finish(self.state, request, tokens, self.loop.time())
        self.reply(admitted)

    def leave_not_run(self, request: RunId) -> None:
        """Release the slot or the queue entry of a call that did not run."""
        self.state, admitted = cancel(self.state, request, self.loop.time())
        self.reply(admitted)

    def may_retry(self, team: str) -> bool:
        """Return whether the retry budget allows another attempt, and charge it."""
        self.retries, allowed = may_retry(self.retries, team, self.loop.time())
        return allowed

    def set_slots(self, slots: int) -> None:
        """Set how many calls may run concurrently."""
        if slots != self.state.capacity.slots:
            self.state, admitted = set_capacity(self.state, slots)
            self.reply(admitted)

    def expire(self) -> None:
        """Refuse queued requests whose deadline has passed."""
        self.state, refused = expire(self.state, self.loop.time())
        self.reply(refused)

    def reply(self, verdicts: Iterable[Verdict]) -> None:
        """Pass verdicts to the requests that wait for them."""
        for verdict in verdicts:
            reply = self.waiting.get(verdict.request)
            if reply is not None and not reply.done():
                reply.set_result(verdict)
