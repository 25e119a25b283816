"""Where a prompt's parts are believed to be kept, and from where they are fetched."""

from collections.abc import Sequence

from clementinebend_routing.sessions import PromptPart, SessionTracker, best_source

PARTS = (PromptPart("kind", 500), PromptPart("session", 4_900), PromptPart("own", 900))
OTHER_SESSION = (*PARTS[:1], PromptPart("else", 4_900), PromptPart("last", 10))


def memory(**sent: tuple[PromptPart, ...]) -> SessionTracker:
    """Return a memory of what each endpoint was sent."""
    made = SessionTracker()
    for endpoint, parts in sent.items():
        made.record_prefill(endpoint, parts)
    return made


def source(
    known: SessionTracker,
    endpoint: str,
    parts: Sequence[PromptPart],
    others: Sequence[str],
) -> str | None:
    """Return from where ``endpoint`` would fetch parts of a prompt."""
    unread = {name: known.uncached(name, parts) for name in others}
    return best_source(known.uncached(endpoint, parts), unread)


def test_parts_are_fetched_from_the_endpoint_that_keeps_most() -> None:
    known = memory(a=PARTS, b=OTHER_SESSION)
    assert source(known, "c", PARTS, ["a", "b"]) == "a"
    assert source(known, "c", OTHER_SESSION, ["a", "b"]) == "b"


def test_nothing_is_fetched_that_the_endpoint_keeps_itself() -> None:
    known = memory(a=PARTS, b=PARTS)
    assert source(known, "a", PARTS, ["b"]) is None


def test_nothing_is_fetched_for_a_few_tokens() -> None:
    small = (PromptPart("kind", 20), PromptPart("own", 900))
    known = memory(a=small[:1])
    assert source(known, "c", small, ["a"]) is None


def test_nothing_is_fetched_where_no_other_endpoint_is_sound() -> None:
    assert source(memory(a=PARTS), "c", PARTS, []) is None
