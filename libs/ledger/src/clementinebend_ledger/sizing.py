"""How many tokens a holder wants to have at hand: policy, never safety.

Demand is an exponentially decayed rate of net reservations (tokens/s). A
holder keeps enough for the time that a new grant takes, and no more than its
share of a budget that runs low, so that little is stranded. Times are seconds
of a monotonic clock.
"""

from math import exp, log
from typing import TypedDict

HALF_LIFE = 10.0
"""Seconds after which an observation counts half."""

DELAY_FACTOR = 3.0
"""Log delays that a grant should last: request, reading back, and a retry."""

HORIZON = 2.0
"""Seconds of demand at hand beyond the log's delays."""

SURPLUS_FACTOR = 3.0
"""A holder gives tokens back when it has this many times its target."""

REFILL_SHARE = 0.5
"""A holder asks for more when it has less than this share of its target."""

RESERVATION_FLOOR = 2.0
"""A holder in use keeps at least this many usual reservations at hand."""

FIRST_BACKOFF = 0.1
LAST_BACKOFF = 3.2
"""Seconds between requests after refusals; doubled from first to last."""

_DECAY = log(2) / HALF_LIFE
_SMOOTHING = 0.1


class Forecast(TypedDict):
    """Decayed observations of one budget's use by one holder.

    ``weight`` is tokens, decayed to ``updated``; ``usual`` and ``cost_share``
    are moving means of a reservation and of the part of it that was spent.
    """

    weight: float
    updated: float
    usual: float
    cost_share: float
    run_seconds: float


def new_forecast(now: float) -> Forecast:
    """Return a forecast without observations."""
    return Forecast(weight=0.0, updated=now, usual=0.0, cost_share=1.0, run_seconds=1.0)


def observe(forecast: Forecast, tokens: int, now: float) -> None:
    """Count ``tokens`` reserved (above 0) or returned (below 0)."""
    forecast["weight"] = max(0.0, _decayed(forecast, now) + tokens)
    forecast["updated"] = max(now, forecast["updated"])


def observe_reservation(forecast: Forecast, amount: int, now: float) -> None:
    """Count a reservation."""
    observe(forecast, amount, now)
    usual = forecast["usual"] or float(amount)
    forecast["usual"] = usual + _SMOOTHING * (amount - usual)


def observe_cost(forecast: Forecast, reserved: int, cost: int, seconds: float) -> None:
    """Count the end of a run that had ``reserved`` tokens."""
    forecast["weight"] = max(0.0, forecast["weight"] - (reserved - cost))
    share = cost / reserved if reserved else 1.0
    forecast["cost_share"] += _SMOOTHING * (share - forecast["cost_share"])
    forecast["run_seconds"] += _SMOOTHING * (seconds - forecast["run_seconds"])


def tokens_per_second(forecast: Forecast, now: float) -> float:
    """Return the forecast rate of net reservations."""
    return _decayed(forecast, now) * _DECAY


def target(forecast: Forecast, now: float, log_delay: float) -> int:
    """Return the unreserved tokens that the holder wants to have at hand."""
    rate = tokens_per_second(forecast, now)
    demand = rate * (log_delay * DELAY_FACTOR + HORIZON)
    if demand < 1.0:
        return 0
    floor = RESERVATION_FLOOR * forecast["usual"]
    return int(max(demand, floor))


def share_of_available(spare: int, holders: int) -> int:
    """Return what one holder may ask for beyond its pending need.

    One part is left over for a holder that has no grant yet.
    """
    return spare // (holders + 1)


def next_backoff(backoff: float) -> float:
    """Return the wait after one more refusal."""
    return min(LAST_BACKOFF, max(FIRST_BACKOFF, backoff * 2))


def _decayed(forecast: Forecast, now: float) -> float:
    elapsed = max(0.0, now - forecast["updated"])
    return forecast["weight"] * exp(-_DECAY * elapsed)
