"""What the gate wants done."""

from enum import StrEnum
from typing import NamedTuple

from clementinebend_records.identifiers import RunId
from clementinebend_records.messages import Message, RunStart


class Send(NamedTuple):
    """Send a message over a connection."""

    connection: int
    message: Message


class StartRun(NamedTuple):
    """Execute a request on the endpoint, once."""

    start: RunStart


class StopRun(NamedTuple):
    """Cancel a run at the endpoint; its ``RunOver`` is still awaited."""

    run: RunId


class Exit(NamedTuple):
    """Nothing is left to do here: the process may end."""


class Counter(StrEnum):
    """What is counted; see ``metrics`` for the exported names."""

    RUNS = "runs"
    REFUSALS = "refusals"
    TOKENS = "tokens"
    OVERRUN = "overrun"
    UNKNOWN_USAGE = "unknown_usage"
    ATTACHMENTS = "attachments"
    EVICTIONS = "evictions"


class Count(NamedTuple):
    """Add to a counter; ``label`` is an outcome or a reason, or empty."""

    counter: Counter
    label: str = ""
    amount: int = 1


Effect = Send | StartRun | StopRun | Exit | Count
