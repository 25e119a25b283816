"""How many tokens a holder wants to have at hand: policy, never safety.

Demand is an exponentially decayed rate of net reservations (tokens/s). A
holder keeps an hour of it, at most its part of what is left of the budget,
and nothing once that part is small, so that little is stranded. Times are
seconds of a monotonic clock.
"""

from math import ceil, exp, log
from typing import NamedTuple, TypedDict

HALF_LIFE = 600.0
"""Seconds after which an observation counts half."""

MIN_FORECAST_AGE = 60.0
"""Seconds that a forecast is taken to have seen at the least."""

DELAY_FACTOR = 3.0
"""Log delays that a grant should last: request, reading back, and a retry."""

FALLBACK_SECONDS = 2.0
"""Seconds of demand at hand beyond the log's delays, if accounts are unknown."""

TARGET_SECONDS = 3600.0
"""Seconds of demand that a holder keeps at hand where the budget allows it.

A region may be cut off for an hour, and then nothing else can be had.
"""

MAX_GRANTED_SHARE = 0.95
"""Part of what is left of a budget that holders keep between them.

The rest stays on the log, for whoever finds that it has too little.
"""

MIN_RESERVATIONS = 4.0
"""A share of fewer usual reservations than this is not kept at all.

Near the end of a budget small pieces in many hands would cover no request.
"""

FLOOR_SHARE = 0.1
"""Part of what is left that all holders' least pieces may come to."""

RETURN_FACTOR = 2.0
"""How many times what another holder lacks the others give back between them."""

SURPLUS_FACTOR = 1.5
"""A holder gives tokens back when it has this many times its target."""

REFILL_SHARE = 0.7
"""A holder asks for more when it has less than this share of its target."""

MIN_BACKOFF = 0.1
MAX_BACKOFF = 3.2
"""Seconds between requests after refusals; doubled from first to last."""

_DECAY = log(2) / HALF_LIFE
_SMOOTHING = 0.1


class Accounts(NamedTuple):
    """A budget as a holder last saw it in replay; -1 if it never did.

    ``rate`` is what all holders spend (tokens/s), ``left`` what is neither
    billed nor held.
    """

    rate: float
    left: int
    holders: int


class Forecast(TypedDict):
    """Decayed observations of one budget's use by one holder.

    ``weight`` is tokens, decayed to ``updated``; ``usual`` and ``cost_share``
    are moving means of a reservation and of the part of it that was spent.
    """

    weight: float
    since: float
    updated: float
    usual: float
    cost_share: float
    run_seconds: float


def new_forecast(now: float) -> Forecast:
    """Return a forecast without observations."""
    return Forecast(
        weight=0.0, since=now, updated=now, usual=0.0, cost_share=1.0, run_seconds=1.0
    )


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
    """Return the forecast rate of net reservations.

    A young forecast is scaled by the share of the past that it has seen.
    """
    age = max(MIN_FORECAST_AGE, now - forecast["since"])
    return _decayed(forecast, now) * _DECAY / (1.0 - exp(-_DECAY * age))


def target(forecast: Forecast, accounts: Accounts, now: float, log_delay: float) -> int:
    """Return the unreserved tokens that the holder wants to have at hand.

    Each holder's part of what is left is its part of the spending. While the
    budget allows every holder a few usual reservations, none has fewer.
    """
    rate = tokens_per_second(forecast, now)
    if accounts.left < 0:
        demand = rate * (log_delay * DELAY_FACTOR + FALLBACK_SECONDS)
        return int(max(demand, 2 * forecast["usual"])) if demand >= 1.0 else 0
    share = rate / max(rate, accounts.rate) if rate else 0.0
    target_amount = min(
        rate * TARGET_SECONDS, MAX_GRANTED_SHARE * accounts.left * share
    )
    floor = MIN_RESERVATIONS * forecast["usual"]
    if floor * (accounts.holders + 1) <= FLOOR_SHARE * accounts.left:
        return int(max(target_amount, floor))
    return int(target_amount) if target_amount >= floor else 0


def amount_to_return(free: int, lacking: int, granted: int) -> int:
    """Return what a holder gives back when another was refused a grant."""
    if granted <= 0:
        return 0
    return int(min(free, ceil(free * RETURN_FACTOR * lacking / granted)))


def share_of_available(spare: int, holders: int) -> int:
    """Return what one holder may ask for beyond its pending need.

    One part is left over for a holder that has no grant yet.
    """
    return spare // (holders + 1)


def next_backoff(backoff: float) -> float:
    """Return the wait after one more refusal."""
    return min(MAX_BACKOFF, max(MIN_BACKOFF, backoff * 2))


def _decayed(forecast: Forecast, now: float) -> float:
    elapsed = max(0.0, now - forecast["updated"])
    return forecast["weight"] * exp(-_DECAY * elapsed)
