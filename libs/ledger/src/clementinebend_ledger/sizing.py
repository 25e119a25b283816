"""How many unreserved tokens a holder should have: policy that never affects safety.

Demand is an exponentially decayed rate of net reservations in tokens/s. A holder
keeps an hour of demand, but at most its share of the remaining budget, and nothing
once that share is small, so that few tokens are stranded. Times are in seconds of a
monotonic clock.
"""

from math import ceil, exp, log
from typing import NamedTuple, TypedDict

HALF_LIFE = 600.0
"""Seconds after which an observation has half its weight."""

MIN_FORECAST_AGE = 60.0
"""Minimum age of a forecast, in seconds, that is used to scale its rate."""

DELAY_FACTOR = 3.0
"""Number of log delays that a grant should last: request, read back and one retry."""

FALLBACK_SECONDS = 2.0
"""Seconds of demand kept beyond the log delays while the accounts are unknown."""

TARGET_SECONDS = 3600.0
"""Seconds of demand that a holder keeps if the budget allows it.

A region may be disconnected for an hour and cannot get any grant in that time.
"""

MAX_GRANTED_SHARE = 0.95
"""Share of a budget's remaining tokens that all holders together keep.

The rest stays available on the log, for holders that turn out to have too few.
"""

MIN_RESERVATIONS = 4.0
"""A holder's share is not kept if it is smaller than this many usual reservations.

Near the end of a budget, small amounts at many holders would not cover any request.
"""

FLOOR_SHARE = 0.1
"""Share of the remaining tokens that the minimum amounts of all holders may total."""

RETURN_FACTOR = 2.0
"""Multiple of a refused holder's shortage that the other holders together return."""

SURPLUS_FACTOR = 1.5
"""A holder returns its tokens above this multiple of its target."""

REFILL_SHARE = 0.7
"""A holder requests more tokens below this share of its target."""

MIN_BACKOFF = 0.1
MAX_BACKOFF = 3.2
"""Seconds between requests after refusals, doubled from the minimum to the maximum."""

_DECAY = log(2) / HALF_LIFE
_SMOOTHING = 0.1


class Accounts(NamedTuple):
    """Accounts of a budget as a holder last saw them in replay.

    ``rate`` is the spending of all holders in tokens/s, ``left`` the tokens that are
    neither billed nor held. ``left`` and ``holders`` are -1 before the first summary.
    """

    rate: float
    left: int
    holders: int


class Forecast(TypedDict):
    """Decayed observations of the use of a budget.

    ``weight`` is in tokens, decayed to the time ``updated``. ``usual``, ``cost_share``
    and ``run_seconds`` are moving averages of the size of a reservation, of the share
    of it that was spent, and of the duration of a run.
    """

    weight: float
    since: float
    updated: float
    usual: float
    cost_share: float
    run_seconds: float


def new_forecast(now: float) -> Forecast:
    """Return a forecast that starts at ``now``, without observations."""
    return Forecast(
        weight=0.0, since=now, updated=now, usual=0.0, cost_share=1.0, run_seconds=1.0
    )


def observe(forecast: Forecast, tokens: int, now: float) -> None:
    """Add ``tokens`` reserved (positive) or returned (negative) to the demand."""
    forecast["weight"] = max(0.0, _decayed(forecast, now) + tokens)
    forecast["updated"] = max(now, forecast["updated"])


def observe_reservation(forecast: Forecast, amount: int, now: float) -> None:
    """Add a reservation to the demand and to the average size."""
    observe(forecast, amount, now)
    usual = forecast["usual"] or float(amount)
    forecast["usual"] = usual + _SMOOTHING * (amount - usual)


def observe_cost(forecast: Forecast, reserved: int, cost: int, seconds: float) -> None:
    """Record the end of a run that spent ``cost`` of its ``reserved`` tokens."""
    forecast["weight"] = max(0.0, forecast["weight"] - (reserved - cost))
    share = cost / reserved if reserved else 1.0
    forecast["cost_share"] += _SMOOTHING * (share - forecast["cost_share"])
    forecast["run_seconds"] += _SMOOTHING * (seconds - forecast["run_seconds"])


def tokens_per_second(forecast: Forecast, now: float) -> float:
    """Return the forecast rate of net reservations in tokens/s.

    The decayed sum of a recent forecast covers only part of the decay window, so the
    rate is scaled by the age of the forecast.
    """
    age = max(MIN_FORECAST_AGE, now - forecast["since"])
    return _decayed(forecast, now) * _DECAY / (1.0 - exp(-_DECAY * age))


def target(forecast: Forecast, accounts: Accounts, now: float, log_delay: float) -> int:
    """Return the number of unreserved tokens that the holder should have.

    A holder's share of the remaining tokens is its share of the spending. As long as
    the budget allows every holder ``MIN_RESERVATIONS`` usual reservations, that is
    the minimum for each.
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
    """Return how many tokens to return after another holder was refused a grant."""
    if granted <= 0:
        return 0
    return int(min(free, ceil(free * RETURN_FACTOR * lacking / granted)))


def share_of_available(spare: int, holders: int) -> int:
    """Return how many available tokens one holder may request beyond its need.

    One further share is left for a holder that has no grant yet.
    """
    return spare // (holders + 1)


def next_backoff(backoff: float) -> float:
    """Return the number of seconds to wait after another refusal."""
    return min(MAX_BACKOFF, max(MIN_BACKOFF, backoff * 2))


def _decayed(forecast: Forecast, now: float) -> float:
    elapsed = max(0.0, now - forecast["updated"])
    return forecast["weight"] * exp(-_DECAY * elapsed)
