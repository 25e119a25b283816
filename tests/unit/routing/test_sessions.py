"""Which prompt parts are tracked as cached, and where they are fetched from."""

from collections.abc import Sequence

from clementinebend_routing.sessions import PromptPart, SessionTracker, best_source

PARTS = (PromptPart("kind", 500), PromptPart("session", 4_900), PromptPart("own", 900))
OTHER_SESSION = (*PARTS[:1], PromptPart("else", 4_900), PromptPart("last", 10))


def tracker_of(**sent: tuple[PromptPart, ...]) -> SessionTracker:
    """Return a tracker that recorded the prompt prefilled by each endpoint."""
    tracker = SessionTracker()
    for endpoint, parts in sent.items():
        tracker.record_prefill(endpoint, parts)
    return tracker


def fetch_source(
    session_tracker: SessionTracker,
    endpoint: str,
    parts: Sequence[PromptPart],
    others: Sequence[str],
) -> str | None:
    """Return the endpoint from which ``endpoint`` would fetch parts of a prompt."""
    unread = {name: session_tracker.uncached(name, parts) for name in others}
    return best_source(session_tracker.uncached(endpoint, parts), unread)


def test_parts_are_fetched_from_the_endpoint_with_most_of_them() -> None:
    session_tracker = tracker_of(a=PARTS, b=OTHER_SESSION)
    assert fetch_source(session_tracker, "c", PARTS, ["a", "b"]) == "a"
    assert fetch_source(session_tracker, "c", OTHER_SESSION, ["a", "b"]) == "b"


def test_parts_cached_locally_are_not_fetched() -> None:
    session_tracker = tracker_of(a=PARTS, b=PARTS)
    assert fetch_source(session_tracker, "a", PARTS, ["b"]) is None


def test_a_few_tokens_are_not_worth_a_fetch() -> None:
    small = (PromptPart("kind", 20), PromptPart("own", 900))
    session_tracker = tracker_of(a=small[:1])
    assert fetch_source(session_tracker, "c", small, ["a"]) is None


def test_nothing_is_fetched_without_another_endpoint() -> None:
    assert fetch_source(tracker_of(a=PARTS), "c", PARTS, []) is None
