"""What loads say of the programs under load."""

import pytest

from clementinebend_bench.experiments.path_loads import (
    SHORT_TOKENS,
    TOKENS,
    capacity_of,
    tokens_per_core,
    unit_cost,
)
from clementinebend_bench.launcher.loading import Measured, combined
from clementinebend_bench.programs.load import Answered

REQUEST_SECONDS = 0.002
TOKEN_SECONDS = 0.0001


def measured(requests: int, tokens: int) -> Measured:
    """Return a load on two sidecars that share it unevenly."""
    seconds = requests * (REQUEST_SECONDS + tokens * TOKEN_SECONDS)
    answered = Answered([0.1] * requests, [0.2] * requests, requests * tokens, {}, 1.0)
    cpu = {"engine-1": seconds * 0.25, "engine-2": seconds * 0.75, "entry-1": 9.0}
    return Measured(answered, cpu)


def test_two_sizes_of_answers_tell_requests_from_tokens() -> None:
    full, short = measured(30, TOKENS), measured(200, SHORT_TOKENS)
    cost = unit_cost(full, short, "engine-")
    assert cost == pytest.approx((REQUEST_SECONDS, TOKEN_SECONDS))


def test_one_core_bears_what_all_processes_of_a_kind_took_together() -> None:
    load = measured(30, TOKENS)
    seconds = REQUEST_SECONDS + TOKENS * TOKEN_SECONDS
    assert capacity_of(load, "engine-") == pytest.approx(1 / seconds)
    assert tokens_per_core(load, "engine-") == pytest.approx(TOKENS / seconds)


def test_generators_are_counted_together() -> None:
    one = Answered([1.0], [2.0], 5, {"status 503": 1}, 3.0)
    other = Answered([4.0, 5.0], [6.0, 7.0], 8, {"status 503": 2, "cut": 1}, 2.5)
    together = combined([one, other])
    assert together.first == [1.0, 4.0, 5.0]
    assert together.tokens == 13
    assert together.failures == {"status 503": 3, "cut": 1}
    assert together.seconds == 3.0
