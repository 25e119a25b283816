"""One log line for each decision that touches a call or changes a belief.

A line carries the call's id, what decided, how old that was, and the outcome.
"""

from logging import getLogger
from typing import Any

logger = getLogger(__name__)


def log_decision(decision: str, **fields: Any) -> None:
    """Write one line about ``decision``; ``fields`` are what decided it."""
    logger.info(decision, extra=fields)


def log_dependency(name: str, is_lost: bool, **fields: Any) -> None:
    """Write that a dependency was lost, or is back."""
    decision = "dependency lost" if is_lost else "dependency regained"
    logger.warning(decision, extra={"dependency": name, **fields})
