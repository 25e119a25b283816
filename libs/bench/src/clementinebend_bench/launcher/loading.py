"""Runs load generators and tells what they and the programs under load did."""

from asyncio import gather
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from msgspec.json import decode, encode

from clementinebend_bench.launcher.figures import cpu_seconds
from clementinebend_bench.launcher.processes import (
    ProcessError,
    Processes,
    RunningProcess,
    run_to_end,
)
from clementinebend_bench.programs.load import Answered, Order

GENERATORS = 2
"""Processes that a load is spread over."""

LOAD_PROGRAM = ("python", "-m", "clementinebend_bench.programs.load")
RELAY_PROGRAM = ("python", "-m", "clementinebend_bench.programs.relay")


class Measured(NamedTuple):
    """What a load gave, and the processor seconds that each program took.

    ``appends`` counts those to the log meanwhile.
    """

    answered: Answered
    cpu: dict[str, float]
    appends: int = 0

    def cpu_of(self, prefix: str) -> float:
        """Return the seconds of all programs whose name starts with ``prefix``."""
        return sum(took for name, took in self.cpu.items() if name.startswith(prefix))


async def measure(
    processes: Processes, order: Order, watched: Mapping[str, RunningProcess]
) -> Measured:
    """Send a load and measure it, and the programs that are ``watched``."""
    before = {name: cpu_seconds(process.pid) for name, process in watched.items()}
    orders = [_part_of(order, number) for number in range(GENERATORS)]
    answered = await gather(*(_send(processes, part) for part in orders))
    after = {name: cpu_seconds(process.pid) for name, process in watched.items()}
    cpu = {name: after[name] - before[name] for name in watched}
    return Measured(combined(answered), cpu)


def combined(parts: list[Answered]) -> Answered:
    """Return what several generators got together."""
    failures = sum((Counter(part.failures) for part in parts), Counter[str]())
    return Answered(
        [seconds for part in parts for seconds in part.first],
        [seconds for part in parts for seconds in part.whole],
        sum(part.tokens for part in parts),
        dict(failures),
        max(part.seconds for part in parts),
    )


async def _send(processes: Processes, order: Order) -> Answered:
    line = [*LOAD_PROGRAM, encode(order).decode()]
    code, output = await run_to_end(processes, line, "load")
    if code:
        raise ProcessError(f"the load generator ended with {code}")
    return decode(output, type=Answered)


def _part_of(order: Order, number: int) -> Order:
    return order._replace(
        in_flight=max(1, order.in_flight // GENERATORS),
        rate=order.rate / GENERATORS,
        seed=order.seed * GENERATORS + number,
    )
