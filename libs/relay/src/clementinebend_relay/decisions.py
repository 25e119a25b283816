"""Structured log lines for decisions about calls, endpoints and dependencies.

Each decision is one line, with the fields that explain it, such as the call's id,
the data it was based on and the age of that data, and its outcome.
"""

from logging import getLogger
from typing import Any

logger = getLogger(__name__)


def log_decision(decision: str, **fields: Any) -> None:
    """Log a decision with the ``fields`` that explain it."""
    logger.info(decision, extra=fields)


def log_dependency(name: str, is_lost: bool, **fields: Any) -> None:
    """Log that a dependency has become unavailable or is available again."""
    decision = "dependency lost" if is_lost else "dependency regained"
    logger.warning(decision, extra={"dependency": name, **fields})
