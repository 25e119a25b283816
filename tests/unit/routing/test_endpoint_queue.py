"""The queue of an endpoint as kept by one process and reported to all entries."""

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


def test_calls_of_all_entries_count_until_their_first_token_or_end() -> None:
    queue = EndpointQueue()
    queue.on_sent("a", USUAL, 100, PARTS, 0.0)
    queue.on_sent("b", USUAL, 50, PARTS, 0.0)
    assert queue.report(USUAL, (), 0.0)[:2] == (2, 150)
    queue.on_read("a", 0.1)
    assert queue.report(USUAL, (), 0.1)[:2] == (2, 50)
    queue.on_ended("b")
    assert queue.report(USUAL, (), 0.2)[:2] == (1, 0)


def test_only_calls_of_the_same_or_higher_priority_are_ahead() -> None:
    queue = EndpointQueue()
    queue.on_sent("a", USUAL, 100, PARTS, 0.0)
    assert queue.report(URGENT, (), 0.0).ahead == 0
    assert queue.report(USUAL, (), 0.0).ahead == 100


def test_parts_cached_for_one_entry_count_as_cached_for_another() -> None:
    queue = EndpointQueue()
    queue.on_sent("a", USUAL, 6_300, PARTS, 0.0)
    assert queue.report(USUAL, PARTS, 0.0).unread == 6_300
    queue.on_read("a", 0.2)
    other = (*PARTS[:2], PromptPart("else", 70))
    assert queue.report(USUAL, other, 0.2).unread == 70


def test_calls_without_a_reported_end_expire() -> None:
    queue = EndpointQueue()
    queue.on_sent("a", USUAL, 100, PARTS, 0.0)
    assert queue.report(USUAL, (), UNREAD_TIMEOUT)[:2] == (1, 0)
    assert queue.report(USUAL, (), MAX_CALL_SECONDS)[:2] == (0, 0)


def test_the_pace_is_reported_to_all_entries() -> None:
    queue = EndpointQueue()
    assert queue.report(USUAL, PARTS, 0.0).pace is None
    queue.on_sent("a", USUAL, 6_300, PARTS, 0.0)
    queue.on_read("a", 0.2)
    pace = queue.report(USUAL, PARTS, 0.2).pace
    assert pace is not None and 0.0 < pace < 0.2 / 6_300


def test_cached_parts_are_bounded() -> None:
    queue = EndpointQueue()
    for number in range(2 * MAX_CACHED_PARTS):
        queue.on_sent("r", USUAL, 1, (PromptPart(f"p{number}", 1),), 0.0)
        queue.on_read("r", 0.0)
        queue.on_ended("r")
    assert len(queue.cached) == MAX_CACHED_PARTS


requests = st.sampled_from("abcd")
messages = st.tuples(st.sampled_from(["sent", "read", "ended"]), requests)


@given(st.lists(messages, max_size=40))
def test_lost_repeated_or_reordered_messages_keep_the_queue_consistent(
    received: list[tuple[str, str]],
) -> None:
    queue = EndpointQueue()
    for index, (message, request) in enumerate(received):
        now = index * 0.1
        if message == "sent":
            queue.on_sent(request, USUAL, 10, PARTS, now)
        elif message == "read":
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
LATE_SECONDS = 0.25
"""A first token is late if this many seconds of work are queued before its prompt."""


def late_fraction(sample_size: int, report_interval: float | None) -> float:
    """Simulate prompts of widely varying length at 0.6 of the endpoints' capacity.

    Each prompt is sent to the best of ``sample_size`` random endpoints. The queues are
    known as they are, or, if ``report_interval`` is set, as they were at the last
    report, which all entries receive every ``report_interval`` seconds.
    """
    random = Random(11)
    free_at = [0.0] * ENDPOINTS
    reported, reported_at = list(free_at), 0.0
    late = calls = 0
    now = 0.0
    while now < SECONDS:
        now += random.expovariate(CALLS_PER_SECOND)
        if report_interval is None or now - reported_at >= report_interval:
            reported, reported_at = list(free_at), now
        known_free_at = free_at if report_interval is None else reported
        tokens = min(60_000, int(random.expovariate(1 / 9_000)) + 500)
        names = random.sample(range(ENDPOINTS), sample_size)
        candidates = [
            PrefillCandidate(
                str(name),
                max(0.0, known_free_at[name] - now) * TOKENS_PER_SECOND,
                tokens,
                0,
                1.0,
            )
            for name in sorted(names, key=lambda name: known_free_at[name])
        ]
        chosen = int(choose_candidate(candidates).name)
        wait = max(0.0, free_at[chosen] - now)
        free_at[chosen] = now + wait + tokens / TOKENS_PER_SECOND
        late += wait > LATE_SECONDS
        calls += 1
    return late / calls


def test_few_current_reports_beat_stale_reports_of_all_queues() -> None:
    fresh = late_fraction(sample_size=4, report_interval=None)
    stale = late_fraction(sample_size=ENDPOINTS, report_interval=1.7)
    assert fresh < 0.02
    assert fresh < 0.2 * stale
