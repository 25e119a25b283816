"""Turns in which connections parse bodies that come in many small chunks.

Each chunk takes processor time, however small it is. One connection has its turn in an
iteration of the event loop, so that others wait for one turn, however many connections
send small chunks.
"""

from asyncio import Future, get_running_loop
from collections import deque


class ParsingTurns:
    """The connections that wait for a turn, in the order in which they came."""

    def __init__(self) -> None:
        self.waiting: deque[Future[None]] = deque()
        self.is_scheduled = False

    async def take(self) -> None:
        """Return once it is the caller's turn, in a later iteration."""
        turn = get_running_loop().create_future()
        self.waiting.append(turn)
        self._schedule()
        await turn

    def _schedule(self) -> None:
        if self.waiting and not self.is_scheduled:
            self.is_scheduled = True
            get_running_loop().call_soon(self._give)

    def _give(self) -> None:
        """Give the next turn to the first that still waits for one."""
        self.is_scheduled = False
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        self._schedule()
