"""Choice of the endpoint whose first token comes soonest."""

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

READ_PER_SECOND = 66_000
"""Prompt tokens that the endpoints of this load read in a second."""


def place(
    name: str, ahead: float = 0, unread: int = 0, slow: float = 1
) -> PrefillCandidate:
    return PrefillCandidate(name, ahead, unread, 0, slow)


def test_the_sessions_first_endpoint_is_kept_while_others_are_hardly_better() -> None:
    ranked = [place("a", MOVE_THRESHOLD_TOKENS), place("b"), place("c")]
    assert choose_candidate(ranked).name == "a"


def test_a_prompt_passes_by_an_endpoint_with_much_to_read() -> None:
    ranked = [place("a", 50_000), place("b", 20_000), place("c", 100)]
    assert choose_candidate(ranked).name == "c"


def test_what_must_be_read_counts_like_what_is_ahead() -> None:
    ranked = [place("a", unread=9_000), place("b", unread=1_000)]
    assert choose_candidate(ranked).name == "b"


def test_a_slow_endpoint_counts_with_its_pace() -> None:
    ranked = [place("a", 5_000, slow=4), place("b", 9_000)]
    assert choose_candidate(ranked).name == "b"


def test_a_long_prompt_goes_where_few_streams_run_and_a_short_one_need_not() -> None:
    crowded, calm = place("a")._replace(running=8), place("b", 9_000)
    assert choose_candidate([crowded, calm]).name == "a"
    long = [each._replace(unread=LONG_PROMPT_TOKENS + 1) for each in (crowded, calm)]
    assert choose_candidate(long).name == "b"


def test_slowness_is_seen_from_first_tokens_and_passes() -> None:
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


def test_slowness_is_bounded_and_an_unknown_endpoint_is_a_usual_one() -> None:
    dead = on_first_token(Pace(), 60.0, 0)
    assert slowness(dead, median_pace([Pace(0.00002)] * 3)) == MAX_SLOWNESS
    assert slowness(Pace(), median_pace([dead])) == MIN_SLOWNESS
    assert slowness(dead, median_pace([])) == MIN_SLOWNESS


def late_first_tokens(by_pace: bool) -> int:
    """Replay clumps of prompts before nine endpoints, a third of them slow.

    Returns how many first tokens come later than 0.8 s after the prompt.
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
        places = [
            PrefillCandidate(
                str(name),
                max(0.0, busy_until[name] - now) * READ_PER_SECOND * speed[name],
                round(tokens),
                0,
                slowness(paces[name], median_pace(paces)) if by_pace else 1.0,
            )
            for name in ((number + turn) % 9 for turn in range(9))
        ]
        chosen = choose_candidate(places)
        name = int(chosen.name)
        taken = (chosen.ahead + tokens) / READ_PER_SECOND / speed[name]
        busy_until[name] = now + taken
        paces[name] = on_first_token(paces[name], taken, chosen.ahead + tokens)
        late += taken > 0.8
    return late


def test_observed_pace_spares_late_first_tokens_where_a_third_is_slow() -> None:
    assert late_first_tokens(by_pace=True) < 0.75 * late_first_tokens(by_pace=False)
