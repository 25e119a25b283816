"""Calls of any size: which are admitted, and what they leave in a budget's quotas."""

import pytest

from clementinebend_records.token_counts import MAX_BUDGET, MAX_TOKENS
from clementinebend_relay.admission import Admitted, admit
from clementinebend_relay.models import (
    Call,
    CallerLimits,
    Configuration,
    Reason,
    Rejection,
    RouteKind,
    Team,
)
from clementinebend_relay.quota_view import Shortfall
from tests.unit.relay.calls import CALL, SERVICE, route
from tests.unit.relay.simulated_fleet import TEAM, SimulatedFleet

BUDGET = 1000
LIMITS = CallerLimits(1, 1, 1.0, 1.0)
MANY_CALLS = 44_000


def outcome(call: Call, prepaid: int | None) -> Admitted | Rejection:
    """Return whether a call is admitted for a team with a budget."""
    routes = {call.host: {"/s/": route(RouteKind.STREAM)}}
    teams = {"desk": Team("desk", prepaid, None)}
    return admit(
        call,
        Configuration(1, routes, {"pool": SERVICE}, teams, {"k": "desk"}, LIMITS),
    )


@pytest.mark.parametrize(
    ("prompt", "output"), [(BUDGET, 1), (1, BUDGET), (MAX_TOKENS, 0), (0, MAX_TOKENS)]
)
def test_a_call_beyond_the_whole_budget_is_rejected_at_once(
    prompt: int, output: int
) -> None:
    call = CALL._replace(prompt_tokens=prompt, max_output_tokens=output)
    rejection = outcome(call, BUDGET)
    assert isinstance(rejection, Rejection)
    assert rejection.reason is Reason.EXCEEDS_BUDGET
    assert rejection.retry_after is None


def test_a_call_of_the_whole_budget_is_admitted() -> None:
    call = CALL._replace(prompt_tokens=BUDGET - 1, max_output_tokens=1)
    assert isinstance(outcome(call, BUDGET), Admitted)


def test_no_budget_holds_a_call_without_limit() -> None:
    call = CALL._replace(max_output_tokens=MAX_TOKENS)
    assert isinstance(outcome(call, MAX_BUDGET), Rejection)
    assert isinstance(outcome(call, None), Admitted)


def test_quotas_of_the_largest_budget_can_be_written() -> None:
    """Guards against a rate of demand that no record can hold, also an inherited one.

    The commit that met one ended its entry, and then the next home's.
    """
    fleet = SimulatedFleet(2, MAX_BUDGET)
    try:
        for number in range(2):
            account = fleet.entries[number].account
            account.raise_rates(2.0**64, fleet.clock())
            for _ in range(MANY_CALLS):
                account.record_demand(MAX_BUDGET, fleet.clock())
            assert fleet.commit(number)
            fleet.restart(number)
    finally:
        fleet.close()


def test_a_refused_call_is_no_demand() -> None:
    """Guards against a forecast that follows calls which nothing left could serve."""
    fleet = SimulatedFleet(1, BUDGET)
    try:
        fleet.commit(0)
        entry = fleet.entries[0]
        reserving = entry.budgets.reserve(Team(TEAM, BUDGET, None), BUDGET + 1, 1.0)
        assert isinstance(fleet.loop.run_until_complete(reserving), Shortfall)
        assert entry.account.rate(fleet.clock()) == 0.0
        assert entry.account.largest == 0.0
    finally:
        fleet.close()
