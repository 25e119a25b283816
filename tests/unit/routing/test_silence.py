"""When silent endpoints are doubted, and when they are retried."""

from clementinebend_routing.silence import (
    ANNOUNCEMENT_LAG_SECONDS,
    FIRST_DOUBT_SECONDS,
    MAX_DOUBT_SECONDS,
    Doubt,
    is_retry_due,
    on_heard,
    on_silence,
    on_tried,
)


def test_doubt_persists_after_calls_are_abandoned() -> None:
    doubt = on_silence(Doubt(), 10.0)
    assert not is_retry_due(doubt, 9.0, 10.0 + FIRST_DOUBT_SECONDS / 2)


def test_an_announcement_made_after_the_doubt_began_allows_a_retry() -> None:
    doubt = on_silence(Doubt(), 10.0)
    assert not is_retry_due(doubt, 10.0 + ANNOUNCEMENT_LAG_SECONDS / 2, 11.5)
    assert is_retry_due(doubt, 10.1 + ANNOUNCEMENT_LAG_SECONDS, 11.5)


def test_a_retry_is_due_without_an_announcement() -> None:
    doubt = on_silence(Doubt(), 10.0)
    assert is_retry_due(doubt, 9.0, 10.1 + FIRST_DOUBT_SECONDS)


def test_consecutive_doubts_last_longer_up_to_a_maximum() -> None:
    doubt = Doubt()
    for _ in range(10):
        doubt = on_tried(on_silence(doubt, 10.0))
    doubt = on_silence(doubt, 10.0)
    assert not is_retry_due(doubt, 9.0, 10.0 + MAX_DOUBT_SECONDS - 0.1)
    assert is_retry_due(doubt, 9.0, 10.1 + MAX_DOUBT_SECONDS)


def test_data_from_an_endpoint_resets_the_doubt() -> None:
    again = on_silence(on_tried(on_silence(Doubt(), 10.0)), 20.0)
    assert again.in_a_row == 2
    assert on_silence(on_heard(again), 30.0).in_a_row == 1


def test_continued_silence_keeps_the_start_of_the_doubt() -> None:
    doubt = on_silence(Doubt(), 10.0)
    assert on_silence(doubt, 12.0) is doubt
