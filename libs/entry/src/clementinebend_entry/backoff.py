"""Delays between attempts to connect: doubled each time, with jitter."""

from clementinebend_platform_client.schedule import backoff

FIRST_DELAY_S = 0.05
LONGEST_DELAY_S = 2.0


def connect_delay(attempt: int, name: str) -> float:
    """Return the seconds to wait after failed attempt number ``attempt``."""
    return backoff(FIRST_DELAY_S, LONGEST_DELAY_S, attempt, name)
