"""What entries are told of an endpoint's queue, and what one process keeps for all."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from clementinebend_routing.endpoint_queue import (
    MAX_CACHED_PARTS,
    MAX_CALL_SECONDS,
    UNREAD_TIMEOUT,
    EndpointQueue,
)
from clementinebend_routing.prefill import PrefillCandidate, choose_candidate
from clementinebend_routing.sessions import PromptPart

PARTS = (PromptPart("kind", 500), PromptPart("session", 4_900), PromptPart("own", 900))
URGENT, USUAL = 0, 1


def test_calls_of_all_entries_add_up_until_they_are_read_or_end() -> None:
    queue = EndpointQueue()
    queue.on_sent("a", USUAL, 100, PARTS, 0.0)
    queue.on_sent("b", USUAL, 50, PARTS, 0.0)
    assert queue.report(USUAL, (), 0.0)[:2] == (2, 150)
    queue.on_read("a", 0.1)
    assert queue.report(USUAL, (), 0.1)[:2] == (2, 50)
    queue.on_ended("b")
    assert queue.report(USUAL, (), 0.2)[:2] == (1, 0)


def test_only_calls_as_urgent_or_more_lie_ahead() -> None:
    queue = EndpointQueue()
    queue.on_sent("a", USUAL, 100, PARTS, 0.0)
    assert queue.report(URGENT, (), 0.0).ahead == 0
    assert queue.report(USUAL, (), 0.0).ahead == 100


def test_what_one_entry_had_read_there_need_not_be_read_for_another() -> None:
    queue = EndpointQueue()
    queue.on_sent("a", USUAL, 6_300, PARTS, 0.0)
    assert queue.report(USUAL, PARTS, 0.0).unread == 6_300
    queue.on_read("a", 0.2)
    other = (*PARTS[:2], PromptPart("else", 70))
    assert queue.report(USUAL, other, 0.2).unread == 70


def test_calls_whose_end_was_never_heard_are_forgotten() -> None:
    queue = EndpointQueue()
    queue.on_sent("a", USUAL, 100, PARTS, 0.0)
    assert queue.report(USUAL, (), UNREAD_TIMEOUT)[:2] == (1, 0)
    assert queue.report(USUAL, (), MAX_CALL_SECONDS)[:2] == (0, 0)


def test_the_pace_is_seen_by_all() -> None:
    queue = EndpointQueue()
    assert queue.report(USUAL, PARTS, 0.0).pace is None
    queue.on_sent("a", USUAL, 6_300, PARTS, 0.0)
    queue.on_read("a", 0.2)
    pace = queue.report(USUAL, PARTS, 0.2).pace
    assert pace is not None and 0.0 < pace < 0.2 / 6_300


def test_what_is_kept_is_bounded() -> None:
    queue = EndpointQueue()
    for number in range(2 * MAX_CACHED_PARTS):
        queue.on_sent("r", USUAL, 1, (PromptPart(f"p{number}", 1),), 0.0)
        queue.on_read("r", 0.0)
        queue.on_ended("r")
    assert len(queue.cached) == MAX_CACHED_PARTS


requests = st.sampled_from("abcd")
words = st.tuples(st.sampled_from(["sent", "read", "ended"]), requests)


@given(st.lists(words, max_size=40))
def test_words_lost_twice_or_out_of_order_leave_a_sound_queue(
    heard: list[tuple[str, str]],
) -> None:
    queue = EndpointQueue()
    for place, (word, request) in enumerate(heard):
        now = place * 0.1
        if word == "sent":
            queue.on_sent(request, USUAL, 10, PARTS, now)
        elif word == "read":
            queue.on_read(request, now)
        else:
            queue.on_ended(request)
        report = queue.report(USUAL, PARTS, now)
        assert report.running == len(queue.running) <= 4
        assert report.ahead == 10 * len(queue.unread) <= 40


TOKENS_PER_SECOND = 51_000.0
ENDPOINTS, ENTRIES = 48, 68
CALLS_PER_SECOND = 160.0
SECONDS = 20.0
LATE = 0.25
"""Seconds ahead of a prompt from which on its first token is late."""


def late_share(probed: int, told_each: float | None) -> float:
    """Replay prompts of very unlike lengths at 0.6 of what the endpoints read.

    Each is placed at the best of ``probed`` random endpoints, by their queues as they
    are, or as they were told to all each ``told_each`` seconds.
    """
    random = Random(11)
    free_at = [0.0] * ENDPOINTS
    told, told_at = list(free_at), 0.0
    late = calls = 0
    now = 0.0
    while now < SECONDS:
        now += random.expovariate(CALLS_PER_SECOND)
        if told_each is None or now - told_at >= told_each:
            told, told_at = list(free_at), now
        seen = free_at if told_each is None else told
        tokens = min(60_000, int(random.expovariate(1 / 9_000)) + 500)
        names = random.sample(range(ENDPOINTS), probed)
        places = [
            PrefillCandidate(
                str(name),
                max(0.0, seen[name] - now) * TOKENS_PER_SECOND,
                tokens,
                0,
                1.0,
            )
            for name in sorted(names, key=lambda name: seen[name])
        ]
        chosen = int(choose_candidate(places).name)
        wait = max(0.0, free_at[chosen] - now)
        free_at[chosen] = now + wait + tokens / TOKENS_PER_SECOND
        late += wait > LATE
        calls += 1
    return late / calls


def test_few_fresh_reports_beat_all_queues_as_they_were_a_while_ago() -> None:
    fresh = late_share(probed=4, told_each=None)
    stale = late_share(probed=ENDPOINTS, told_each=1.7)
    assert fresh < 0.02
    assert fresh < 0.2 * stale
