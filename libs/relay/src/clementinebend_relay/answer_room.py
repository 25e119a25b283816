"""Room in this entry's memory for answers that are being read from their endpoints.

An answer that waits for room is not read: its endpoint cannot send on. The decision is
made in ``clementinebend_admission.unread_answers`` and applied by ``UnreadAnswers``.
"""

from asyncio import Event
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count

from clementinebend_admission.unread_answers import (
    UNPAUSED_BYTES,
    WaitingAnswer,
    needed_room,
)
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.metrics import paused_answers
from clementinebend_relay.progress import CallProgress
from clementinebend_transport.http_client import OpenAnswer


class AnswerReading:
    """The room reserved for one answer, in bytes, from its head to its end.

    ``on_wait`` is called with True before the answer waits, and with False after it.
    ``has_waited`` is set from the first wait on, after ``on_wait`` was called.
    """

    def __init__(
        self,
        room: "AnswerRoom",
        number: int,
        answer: OpenAnswer,
        progress: CallProgress,
    ) -> None:
        self.room = room
        self.number = number
        self.answer = answer
        self.progress = progress
        self.on_wait: Callable[[bool], None] = lambda is_waiting: None
        self.reserved = 0
        self.wanted = 0
        self.has_waited = False
        self.resumed = Event()

    async def reserve(self, size: int) -> None:
        """Return once there is room for ``size`` bytes of the answer in all.

        The room of an answer of unknown size is doubled as it grows.
        """
        if self.room.limit is None or size <= self.reserved:
            return
        if size <= UNPAUSED_BYTES:
            self.reserved = size
            return
        self.wanted = max(size, 2 * self.reserved) - self.reserved
        if self.room.has_room(self.wanted):
            self.take_room()
        else:
            await self._wait()

    def take_room(self) -> None:
        """Reserve what is wanted, and end the wait for it."""
        self.reserved += self.wanted
        self.wanted = 0
        self.resumed.set()

    def state(self) -> WaitingAnswer:
        """Return what the decision takes into account while the answer waits."""
        return WaitingAnswer(
            self.number,
            self.wanted,
            self.reserved + self.wanted,
            self.answer.buffered_bytes(),
            self.progress.deadline,
        )

    async def _wait(self) -> None:
        began = self.room.clock()
        paused_answers.inc()
        self.resumed.clear()
        self.answer.pause(True)
        self.on_wait(True)
        self.has_waited = True
        try:
            with self.room.waiting_for(self):
                await self.resumed.wait()
        finally:
            self.answer.pause(False)
            self.on_wait(False)
            log_decision(
                "answer waited",
                request_id=self.progress.admitted.call.request_id,
                size=self.reserved + self.wanted,
                waited_s=round(self.room.clock() - began, 3),
                is_resumed=self.resumed.is_set(),
            )


class AnswerRoom:
    """The answers that are being read, and those of them that wait for room.

    ``limit`` bounds, in bytes, what is held for callers in all, None if there is no
    bound; ``held_bytes`` returns what is held for them beside ``reserved_bytes``.
    """

    def __init__(self, limit: int | None, clock: Callable[[], float]) -> None:
        self.limit = limit
        self.clock = clock
        self.held_bytes: Callable[[], int] = lambda: 0
        self.has_waiting = Event()
        self.numbers = count(1)
        self.readings: dict[int, AnswerReading] = {}
        self.waiting: dict[int, AnswerReading] = {}

    @contextmanager
    def reading(
        self, answer: OpenAnswer, progress: CallProgress
    ) -> Iterator[AnswerReading]:
        """Count what is reserved for an answer until it has been read."""
        number = next(self.numbers)
        reading = AnswerReading(self, number, answer, progress)
        self.readings[number] = reading
        try:
            yield reading
        finally:
            del self.readings[number]

    @contextmanager
    def waiting_for(self, reading: AnswerReading) -> Iterator[None]:
        """Count an answer as waiting."""
        self.waiting[reading.number] = reading
        self.has_waiting.set()
        try:
            yield
        finally:
            self.on_wait_ended(reading.number)

    def on_wait_ended(self, number: int) -> None:
        """Count an answer as waiting no longer."""
        self.waiting.pop(number, None)
        if not self.waiting:
            self.has_waiting.clear()

    def reserved_bytes(self) -> int:
        """Return the room that is reserved in all."""
        return sum(reading.reserved for reading in self.readings.values())

    def has_room(self, wanted: int) -> bool:
        """Return whether an answer may be read on without waiting."""
        if self.limit is None:
            return True
        if self.waiting:
            return False
        held = self.held_bytes() + self.reserved_bytes()
        return held + needed_room(wanted, self.limit) <= self.limit

    def resume(self, number: int) -> None:
        """Let a waiting answer be read on; its room counts from now on."""
        self.waiting[number].take_room()
        self.on_wait_ended(number)

    def resume_all(self) -> None:
        """Let all waiting answers be read on, as there is no bound any more."""
        for number in tuple(self.waiting):
            self.resume(number)
