"""Doubt about endpoints that are silent, and how it ends."""

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


def test_doubt_outlasts_the_calls_that_were_given_up() -> None:
    doubt = on_silence(Doubt(), 10.0)
    assert not is_retry_due(doubt, 9.0, 10.0 + FIRST_DOUBT_SECONDS / 2)


def test_an_announcement_made_after_the_doubt_began_ends_it() -> None:
    doubt = on_silence(Doubt(), 10.0)
    assert not is_retry_due(doubt, 10.0 + ANNOUNCEMENT_LAG_SECONDS / 2, 11.5)
    assert is_retry_due(doubt, 10.1 + ANNOUNCEMENT_LAG_SECONDS, 11.5)


def test_an_endpoint_is_tried_again_though_nothing_announces_it() -> None:
    doubt = on_silence(Doubt(), 10.0)
    assert is_retry_due(doubt, 9.0, 10.1 + FIRST_DOUBT_SECONDS)


def test_doubts_in_a_row_last_longer_up_to_a_bound() -> None:
    doubt = Doubt()
    for _ in range(10):
        doubt = on_tried(on_silence(doubt, 10.0))
    doubt = on_silence(doubt, 10.0)
    assert not is_retry_due(doubt, 9.0, 10.0 + MAX_DOUBT_SECONDS - 0.1)
    assert is_retry_due(doubt, 9.0, 10.1 + MAX_DOUBT_SECONDS)


def test_an_endpoint_that_is_heard_is_trusted_as_before() -> None:
    again = on_silence(on_tried(on_silence(Doubt(), 10.0)), 20.0)
    assert again.in_a_row == 2
    assert on_silence(on_heard(again), 30.0).in_a_row == 1


def test_a_doubt_that_goes_on_began_when_it_began() -> None:
    doubt = on_silence(Doubt(), 10.0)
    assert on_silence(doubt, 12.0) is doubt
