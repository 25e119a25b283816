"""Observes what this entry holds for callers, and keeps the sum within its bound.

The decisions are made in ``clementinebend_admission.unread_answers``. Nothing is
observed if the entry's memory is not limited.
"""

from asyncio import sleep, timeout
from collections.abc import Callable, Iterable
from contextlib import suppress

from clementinebend_admission.unread_answers import (
    CallerReads,
    HeldAnswer,
    decide,
    max_held,
    next_rate,
    on_observed,
)
from clementinebend_relay.answer_room import AnswerRoom
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.interfaces import HttpProtocol
from clementinebend_relay.metrics import disconnected_callers, held_answer_bytes
from clementinebend_relay.models import Rejection
from clementinebend_transport.http_connection import HttpConnection

STEP_SECONDS = 0.1
"""Interval in seconds of the decisions while much is held, or an answer waits."""

IDLE_STEP_SECONDS = 0.5
"""Pause in seconds before each step, beside ``STEP_SECONDS``, while little is held; it
ends when an answer waits."""

OBSERVED_FRACTION = 0.5
"""Part of the bound from which on it is observed which callers read."""

MAX_LOGGED = 20
"""Disconnected callers that are logged in one step, so that these lines stay below the
250 a second of a process; the counter and the field ``disconnected`` count all."""


class UnreadAnswers:
    """Observes what callers take of their answers, and keeps what is held bounded.

    ``memory`` is the limit of the entry's memory in bytes, None if there is none.
    """

    def __init__(
        self,
        memory: int | None,
        protocol: HttpProtocol,
        clock: Callable[[], float],
    ) -> None:
        self.protocol = protocol
        self.clock = clock
        self.connections: Callable[[], Iterable[HttpConnection]] = lambda: ()
        self.room = AnswerRoom(max_held(memory), clock)
        self.room.held_bytes = self.held_bytes
        self.reads: dict[HttpConnection, CallerReads] = {}
        self.rate = 0.0
        self.stepped_at = clock()

    def change_memory(self, memory: int | None) -> None:
        """Apply a changed limit of the entry's memory, in bytes."""
        self.room.limit = max_held(memory)
        if self.room.limit is None:
            self.reads.clear()
            self.room.resume_all()
            held_answer_bytes.set(0)

    def held_bytes(self) -> int:
        """Return how many bytes of answers that are being sent are held."""
        return sum(connection.held_bytes() for connection in self.connections())

    async def run(self) -> None:
        """Keep the sum within its bound, forever."""
        while True:
            if not (self.reads or self.room.waiting):
                with suppress(TimeoutError):
                    async with timeout(IDLE_STEP_SECONDS):
                        await self.room.has_waiting.wait()
            await sleep(STEP_SECONDS)
            if self.room.limit is not None:
                self.step(self.room.limit)

    def step(self, limit: int) -> None:
        """Observe what callers take, and apply what follows from it."""
        now = self.clock()
        held = {
            connection: size
            for connection in self.connections()
            if (size := connection.held_bytes())
        }
        reserved = self.room.reserved_bytes()
        held_by_all = sum(held.values()) + reserved
        held_answer_bytes.set(held_by_all)
        is_much = held_by_all > limit * OBSERVED_FRACTION
        self._observe(held if is_much or self.room.waiting else (), now)
        if self.reads or self.room.waiting:
            self._decide(limit, held, reserved, now)

    def _observe(self, connections: Iterable[HttpConnection], now: float) -> None:
        """Record which callers have taken bytes since the last step."""
        before, self.reads = self.reads, {}
        taken = 0
        for connection in connections:
            offered = connection.channel.written_bytes
            delivered = connection.channel.delivered_bytes()
            known = before.get(connection)
            self.reads[connection] = on_observed(known, delivered, offered, now)
            taken += 0 if known is None else max(0, delivered - known.delivered)
        self.rate = next_rate(self.rate, taken, now - self.stepped_at)
        self.stepped_at = now

    def _decide(
        self, limit: int, held: dict[HttpConnection, int], reserved: int, now: float
    ) -> None:
        connections = list(held)
        callers = [
            HeldAnswer(number, held[connection], self.reads[connection].read_at)
            for number, connection in enumerate(connections)
        ]
        waiting = [reading.state() for reading in self.room.waiting.values()]
        held_by_all = sum(held.values()) + reserved
        decision = decide(limit, callers, reserved, waiting, self.rate, now)
        disconnected_callers.inc(len(decision.disconnected))
        for number in decision.disconnected[:MAX_LOGGED]:
            caller = callers[number]
            log_decision(
                "caller disconnected",
                request_id=self._request_id(connections[number]),
                held=caller.held,
                idle_s=round(now - caller.read_at, 3),
                held_by_all=held_by_all,
                limit=limit,
                waiting=len(waiting),
                taken_per_s=round(self.rate),
                disconnected=len(decision.disconnected),
            )
        for number in decision.disconnected:
            connections[number].disconnect()
        for number in decision.resumed:
            self.room.resume(number)

    def _request_id(self, connection: HttpConnection) -> str | None:
        if connection.request is None:
            return None
        call = self.protocol.read_call(connection.request)
        return None if isinstance(call, Rejection) else call.request_id
