"""Pure model of a plain service: a count of the calls that it executed."""

from typing import NamedTuple


class Call(NamedTuple):
    """One executed call; ``key`` is its idempotency key, or else its run."""

    method: str
    path: str
    key: str
    run: str


class Executed(NamedTuple):
    """How often a method, path and key was executed, and by which runs."""

    method: str
    path: str
    key: str
    calls: int
    runs: tuple[str, ...]


Executions = dict[tuple[str, str, str], Executed]


def execute(executions: Executions, call: Call) -> tuple[Executions, Executed]:
    """Count one call."""
    subject = call[:3]
    earlier = executions.get(subject, Executed(*subject, 0, ()))
    executed = earlier._replace(calls=earlier.calls + 1, runs=(*earlier.runs, call.run))
    executions[subject] = executed
    return executions, executed
