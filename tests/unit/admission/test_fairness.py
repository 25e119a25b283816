"""Backlogged teams get equal service by weight, whatever their requests cost."""

from os import environ

from hypothesis import given, settings
from hypothesis import strategies as st

from clementinebend_admission.queue import Admitted, Arrival, arrive, finish
from clementinebend_admission.queue import empty_admission as empty

FUZZ = environ.get("CLEMENTINEBEND_FUZZ") == "1"
LARGEST = 100
ROUNDS = 300
NO_DEADLINE = 1e9


def served_by_team(
    slots: int, weights: dict[str, float], costs: dict[str, tuple[list[int], list[int]]]
) -> dict[str, int]:
    """Return the tokens served to teams that are always backlogged.

    A cost consists of upper bounds and of the percentages of them that are used.
    """
    state = empty(slots, queue_limit=1_000)
    served = dict.fromkeys(weights, 0)
    running: list[str] = []
    for number in range(ROUNDS):
        for team, weight in weights.items():
            bounds, _ = costs[team]
            bound = bounds[number % len(bounds)]
            arrival = Arrival(f"{team}/{number}", team, weight, 0, bound, NO_DEADLINE)
            state, outcome = arrive(state, arrival, float(number))
            if isinstance(outcome, Admitted):
                running.append(outcome.request)
    for _ in range(ROUNDS // 2):
        request = running.pop(0)
        team, _, number_text = request.partition("/")
        bounds, shares = costs[team]
        number = int(number_text)
        bound = bounds[number % len(bounds)]
        cost = bound * shares[number % len(shares)] // 100
        state, admitted = finish(state, request, cost, float(ROUNDS))
        served[team] += cost
        running += [one.request for one in admitted]
    return served


sizes = st.lists(st.integers(1, LARGEST), min_size=1, max_size=5)
shares = st.lists(st.integers(0, 100), min_size=1, max_size=5)
costs = st.tuples(sizes, shares)


@settings(max_examples=3_000 if FUZZ else 100, derandomize=not FUZZ, deadline=None)
@given(slots=st.integers(1, 6), first=costs, second=costs)
def test_served_tokens_of_equal_teams_differ_by_a_bounded_amount(
    slots: int, first: tuple[list[int], list[int]], second: tuple[list[int], list[int]]
) -> None:
    served = served_by_team(slots, {"a": 1.0, "b": 1.0}, {"a": first, "b": second})
    assert abs(served["a"] - served["b"]) <= 2 * (slots + 1) * LARGEST


def test_service_follows_the_weights() -> None:
    cost = ([50, 100], [30, 60])
    served = served_by_team(2, {"a": 3.0, "b": 1.0}, {"a": cost, "b": cost})
    assert 2.7 <= served["a"] / served["b"] <= 3.3
