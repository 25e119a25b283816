"""Retry budgets: a retry is allowed only while retries are few.

Each team and the fleet have a budget that every first attempt fills by a
share of one retry. A retry takes a whole one from both. So attempts stay
within ``1 + ratio`` times the requests, also while every endpoint fails.
Source: "Site Reliability Engineering" (Beyer et al., 2016), chapter 21. Each
entry keeps the budget for its own part of the traffic.
"""

from typing import NamedTuple

RETRY_RATIO = 0.1
"""Retries allowed for each request."""

TEAM_BURST = 5.0
"""Most retries that a quiet time can save up for a team."""

FLEET_BURST = 20.0
"""Most retries that a quiet time can save up for all teams together."""

MIN_RETRY_BALANCE = 1 - 1e-9
"""A whole retry, less the rounding error of adding up ratios."""

INITIAL_BALANCE = 1.0
"""Retries that a team has with its first request."""


class RetryState(NamedTuple):
    """Retries left, for the fleet and by team, and the ratio they grow by."""

    ratio: float
    fleet: float
    teams: dict[str, float]


def new_retry_state(ratio: float = RETRY_RATIO) -> RetryState:
    """Return the budgets before the first request."""
    return RetryState(ratio, INITIAL_BALANCE, {})


def on_request(state: RetryState, team: str, now: float) -> RetryState:
    """Count a first attempt of ``team``."""
    balance = state.teams.get(team, INITIAL_BALANCE)
    state.teams[team] = min(TEAM_BURST, balance + state.ratio)
    return state._replace(fleet=min(FLEET_BURST, state.fleet + state.ratio))


def may_retry(state: RetryState, team: str, now: float) -> tuple[RetryState, bool]:
    """Tell whether ``team`` may retry now; if so the retry is counted."""
    balance = state.teams.get(team, INITIAL_BALANCE)
    if balance < MIN_RETRY_BALANCE or state.fleet < MIN_RETRY_BALANCE:
        return state, False
    state.teams[team] = balance - 1
    return state._replace(fleet=state.fleet - 1), True
