"""Selection of the endpoint with the earliest expected first token."""

from random import Random

from clementinebend_routing.prefill import (
    LONG_PROMPT_TOKENS,
    MAX_SLOWNESS,
    MIN_SLOWNESS,
    MOVE_THRESHOLD_TOKENS,
    Pace,
    PrefillCandidate,
    choose_candidate,
    median_pace,
    on_first_token,
    slowness,
)

PREFILL_PER_SECOND = 66_000
"""Prompt tokens that an endpoint of the simulation prefills per second."""


def make_candidate(
    name: str, ahead: float = 0, unread: int = 0, slow: float = 1
) -> PrefillCandidate:
    return PrefillCandidate(name, ahead, unread, 0, slow)


def test_the_first_endpoint_is_kept_unless_another_is_clearly_better() -> None:
    ranked = [
        make_candidate("a", MOVE_THRESHOLD_TOKENS),
        make_candidate("b"),
        make_candidate("c"),
    ]
    assert choose_candidate(ranked).name == "a"


def test_an_endpoint_with_a_long_queue_is_not_selected() -> None:
    ranked = [
        make_candidate("a", 50_000),
        make_candidate("b", 20_000),
        make_candidate("c", 100),
    ]
    assert choose_candidate(ranked).name == "c"


def test_uncached_tokens_count_like_queued_tokens() -> None:
    ranked = [make_candidate("a", unread=9_000), make_candidate("b", unread=1_000)]
    assert choose_candidate(ranked).name == "b"


def test_the_pace_of_a_slow_endpoint_counts() -> None:
    ranked = [make_candidate("a", 5_000, slow=4), make_candidate("b", 9_000)]
    assert choose_candidate(ranked).name == "b"


def test_only_long_prompts_avoid_endpoints_with_many_streams() -> None:
    many_streams, no_streams = (
        make_candidate("a")._replace(running=8),
        make_candidate("b", 9_000),
    )
    assert choose_candidate([many_streams, no_streams]).name == "a"
    long = [
        each._replace(unread=LONG_PROMPT_TOKENS + 1)
        for each in (many_streams, no_streams)
    ]
    assert choose_candidate(long).name == "b"


def test_slowness_follows_the_time_to_first_token() -> None:
    usual, slow = Pace(), Pace()
    for _ in range(20):
        usual = on_first_token(usual, 0.1, 5_000)
        slow = on_first_token(slow, 0.5, 5_000)
    pool = median_pace([usual, usual, slow, Pace()])
    assert slowness(usual, pool) == MIN_SLOWNESS
    assert 4.5 < slowness(slow, pool) < 5.5
    for _ in range(20):
        slow = on_first_token(slow, 0.1, 5_000)
    assert slowness(slow, pool) < 1.1


def test_slowness_is_bounded_and_unknown_endpoints_count_as_median() -> None:
    dead = on_first_token(Pace(), 60.0, 0)
    assert slowness(dead, median_pace([Pace(0.00002)] * 3)) == MAX_SLOWNESS
    assert slowness(Pace(), median_pace([dead])) == MIN_SLOWNESS
    assert slowness(dead, median_pace([])) == MIN_SLOWNESS


def late_first_tokens(use_pace: bool) -> int:
    """Simulate bursts of prompts to nine endpoints, a third of them slow.

    Returns the number of first tokens that arrive more than 0.8 s after the prompt.
    """
    random = Random(5)
    speed = [0.25 if name % 3 == 0 else 1.0 for name in range(9)]
    busy_until = [0.0] * 9
    paces = [Pace()] * 9
    late = 0
    now = 0.0
    for number in range(1_500):
        now += random.choice((0.0, 0.0, 0.08))
        tokens = min(54_000.0, random.lognormvariate(8.0, 1.2))
        candidates = [
            PrefillCandidate(
                str(name),
                max(0.0, busy_until[name] - now) * PREFILL_PER_SECOND * speed[name],
                round(tokens),
                0,
                slowness(paces[name], median_pace(paces)) if use_pace else 1.0,
            )
            for name in ((number + step) % 9 for step in range(9))
        ]
        chosen = choose_candidate(candidates)
        name = int(chosen.name)
        elapsed = (chosen.ahead + tokens) / PREFILL_PER_SECOND / speed[name]
        busy_until[name] = now + elapsed
        paces[name] = on_first_token(paces[name], elapsed, chosen.ahead + tokens)
        late += elapsed > 0.8
    return late


def test_observed_pace_reduces_late_first_tokens_if_a_third_is_slow() -> None:
    assert late_first_tokens(use_pace=True) < 0.75 * late_first_tokens(use_pace=False)
