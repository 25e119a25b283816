"""Load generator: streamed completions over HTTP, bounded in number and time.

Reads an ``Order`` as JSON from its argument and prints an ``Answered`` as JSON
when it has ended.
"""

from asyncio import Semaphore, create_task, gather, run, sleep
from collections import Counter
from collections.abc import AsyncIterator
from itertools import count, cycle
from random import Random
from sys import argv, stdout
from time import monotonic
from typing import NamedTuple

from msgspec.json import decode, encode

from clementinebend_transport.http_client import HttpClient, TruncatedAnswer

CHAT_PATH = "/v1/chat/completions"
END = b"data: [DONE]"
EVENT_END = b"\n\n"
EVENTS_BESIDE_TOKENS = 2
"""The event that says why the text ends, and the end of the stream."""

OK = 200


class Order(NamedTuple):
    """What to send: an open loop at ``rate`` a second, or a closed loop.

    Rate 0 means a closed loop: ``in_flight`` callers, each of whom asks again
    at once. In an open loop it bounds the requests in progress.
    """

    urls: tuple[str, ...]
    seconds: float
    in_flight: int
    rate: float
    tokens: int
    prompt_bytes: int
    model: str
    bearer: str
    seed: int


class Answered(NamedTuple):
    """What came back: seconds of each whole answer, tokens, and failures."""

    first: list[float]
    whole: list[float]
    tokens: int
    failures: dict[str, int]
    seconds: float


class Caller:
    """Sends requests and keeps what came back."""

    def __init__(self, order: Order) -> None:
        self.order = order
        self.client = HttpClient()
        self.urls = cycle(order.urls)
        self.numbers = count()
        self.answered = Answered([], [], 0, {}, 0.0)
        self.failures: Counter[str] = Counter()
        self.tokens = 0

    async def call(self) -> None:
        """Send one request and read its whole answer."""
        started = monotonic()
        url = next(self.urls) + CHAT_PATH
        body = self.body(next(self.numbers))
        opened = await self.client.open("POST", url, self.headers(), body, 20.0)
        if opened.is_error():
            self.failures[opened.error.message] += 1
            return
        if opened.ok.status != OK:
            opened.ok.close()
            self.failures[f"status {opened.ok.status}"] += 1
            return
        try:
            await self.read(opened.ok.chunks, started)
        except TruncatedAnswer as error:
            self.failures[str(error)] += 1

    async def read(self, chunks: AsyncIterator[bytes], started: float) -> None:
        """Read an answer; it is whole only with its end event."""
        first, events, tail = 0.0, 0, b""
        async for chunk in chunks:
            first = first or monotonic()
            events += chunk.count(EVENT_END)
            tail = (tail + chunk)[-len(END) - len(EVENT_END) :]
        if END not in tail:
            self.failures["no end event"] += 1
            return
        self.answered.first.append(first - started)
        self.answered.whole.append(monotonic() - started)
        self.tokens += events - EVENTS_BESIDE_TOKENS

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers of a request that may be asked again."""
        key = f"{self.order.seed}-{next(self.numbers)}-{id(self)}"
        return (
            ("content-type", "application/json"),
            ("authorization", f"Bearer {self.order.bearer}"),
            ("idempotency-key", key),
        )

    def body(self, number: int) -> bytes:
        """Return a chat whose prompt nobody has sent before."""
        start = f"{self.order.seed}-{number} "
        content = start.ljust(self.order.prompt_bytes, "x")
        return encode(
            {
                "model": self.order.model,
                "messages": [{"role": "user", "content": content}],
                "max_tokens": self.order.tokens,
                "target_tokens": self.order.tokens,
                "stream": True,
            }
        )

    async def run(self) -> Answered:
        """Send until the time is up, and read all answers to their end."""
        started = monotonic()
        end = started + self.order.seconds
        await (self.open_loop(end) if self.order.rate else self.closed_loop(end))
        seconds = monotonic() - started
        await self.client.close()
        return self.answered._replace(
            tokens=self.tokens, failures=dict(self.failures), seconds=seconds
        )

    async def closed_loop(self, end: float) -> None:
        """Let each caller ask again as soon as it has its answer."""

        async def repeat() -> None:
            while monotonic() < end:
                await self.call()

        await gather(*(repeat() for _ in range(self.order.in_flight)))

    async def open_loop(self, end: float) -> None:
        """Send at random times, whatever comes back."""
        random = Random(self.order.seed)
        free = Semaphore(self.order.in_flight)
        tasks = []
        due = monotonic()
        while (due := due + random.expovariate(self.order.rate)) < end:
            await sleep(due - monotonic())
            tasks.append(create_task(self.bounded(free)))
        await gather(*tasks)

    async def bounded(self, free: Semaphore) -> None:
        """Send one request when there is room for it."""
        async with free:
            await self.call()


def main(argument: str) -> int:
    """Carry out an order."""
    order = decode(argument, type=Order)
    answered = run(Caller(order).run())
    stdout.write(encode(answered).decode() + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main(argv[1]))
