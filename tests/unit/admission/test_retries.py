"""Retries stay within the configured ratio of the requests."""

from clementinebend_admission.retries import may_retry, new_retry_state, on_request


def test_retries_stay_within_the_ratio_while_everything_fails() -> None:
    state = new_retry_state(ratio=0.1)
    retries = 0
    for number in range(10_000):
        state = on_request(state, f"team{number % 7}", number / 10)
        state, allowed = may_retry(state, f"team{number % 7}", number / 10)
        retries += allowed
    assert 900 <= retries <= 1_001


def test_one_failing_team_leaves_the_others_their_retries() -> None:
    state = new_retry_state(ratio=0.1)
    for number in range(200):
        state = on_request(state, "failing", number)
        state, _ = may_retry(state, "failing", number)
        state = on_request(state, "quiet", number)
    assert may_retry(state, "quiet", 200)[1]
