"""Where a prompt's parts are believed to be kept, and from where they are fetched."""

from clementinebend_routing.sessions import (
    MOST_TOLD,
    PromptPart,
    SessionMemory,
)

PARTS = (PromptPart("kind", 500), PromptPart("session", 4_900), PromptPart("own", 900))
OTHER_SESSION = (*PARTS[:1], PromptPart("else", 4_900), PromptPart("last", 10))


def memory(**sent: tuple[PromptPart, ...]) -> SessionMemory:
    """Return a memory of what each endpoint was sent."""
    made = SessionMemory()
    for endpoint, parts in sent.items():
        made.was_read(endpoint, parts)
    return made


def test_parts_are_fetched_from_the_endpoint_that_keeps_most() -> None:
    known = memory(a=PARTS, b=OTHER_SESSION)
    assert known.fetch_source("c", PARTS, ["a", "b"]) == "a"
    assert known.fetch_source("c", OTHER_SESSION, ["a", "b"]) == "b"


def test_nothing_is_fetched_that_the_endpoint_keeps_itself() -> None:
    known = memory(a=PARTS, b=PARTS)
    assert known.fetch_source("a", PARTS, ["b"]) is None


def test_nothing_is_fetched_for_a_few_tokens() -> None:
    small = (PromptPart("kind", 20), PromptPart("own", 900))
    known = memory(a=small[:1])
    assert known.fetch_source("c", small, ["a"]) is None


def test_nothing_is_fetched_where_no_other_endpoint_is_sound() -> None:
    assert memory(a=PARTS).fetch_source("c", PARTS, []) is None


def test_entries_tell_one_another_which_endpoint_reads_which_parts() -> None:
    teller, listener = memory(a=PARTS), SessionMemory()
    listener.learn(teller.take_news())
    assert listener.fetch_source("b", PARTS, ["a"]) == "a"
    assert teller.take_news() == []


def test_what_an_endpoint_was_sent_before_is_no_news() -> None:
    teller = memory(a=PARTS)
    teller.take_news()
    teller.was_read("a", PARTS)
    assert teller.take_news() == []


def test_small_parts_and_the_calls_own_part_are_no_news() -> None:
    teller = memory(a=(PromptPart("few", 20), PromptPart("own", 9_000)))
    assert teller.take_news() == []


def test_news_are_bounded() -> None:
    teller = SessionMemory()
    for number in range(3 * MOST_TOLD):
        teller.was_read("a", (PromptPart(f"session-{number}", 900), PARTS[-1]))
    assert len(teller.take_news()) == MOST_TOLD
