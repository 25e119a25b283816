"""Retry budgets, which limit retries to a fraction of the requests.

Each team and the fleet have a budget. Every first attempt adds ``ratio`` of a
retry to both, and a retry takes one from both. Apart from the initial balance,
attempts stay within ``1 + ratio`` times the requests, even if every endpoint
fails. Source: "Site Reliability Engineering" (Beyer et al., 2016), chapter 21.
Each entry keeps the budgets for its own part of the traffic.
"""

from typing import NamedTuple

RETRY_RATIO = 0.1
"""Retries allowed for each request."""

TEAM_BURST = 5.0
"""Maximum number of unused retries that a team accumulates."""

FLEET_BURST = 20.0
"""Maximum number of unused retries that the fleet accumulates."""

MIN_RETRY_BALANCE = 1 - 1e-9
"""Balance needed for a retry: one, less the rounding error of summing ratios."""

INITIAL_BALANCE = 1.0
"""Initial balance of the fleet and of each team."""


class RetryState(NamedTuple):
    """Remaining retries of the fleet and of each team, and the retries per request."""

    ratio: float
    fleet: float
    teams: dict[str, float]


def new_retry_state(ratio: float = RETRY_RATIO) -> RetryState:
    """Return the initial budgets."""
    return RetryState(ratio, INITIAL_BALANCE, {})


def on_request(state: RetryState, team: str, now: float) -> RetryState:
    """Count a first attempt of ``team``."""
    balance = state.teams.get(team, INITIAL_BALANCE)
    state.teams[team] = min(TEAM_BURST, balance + state.ratio)
    return state._replace(fleet=min(FLEET_BURST, state.fleet + state.ratio))


def may_retry(state: RetryState, team: str, now: float) -> tuple[RetryState, bool]:
    """Return whether ``team`` may retry, and deduct the retry if so."""
    balance = state.teams.get(team, INITIAL_BALANCE)
    if balance < MIN_RETRY_BALANCE or state.fleet < MIN_RETRY_BALANCE:
        return state, False
    state.teams[team] = balance - 1
    return state._replace(fleet=state.fleet - 1), True
