"""Tests that an answer is relayed completely, once, with its end held back."""

from hypothesis import given
from hypothesis import strategies as st

from clementinebend_entry.answer_state import (
    AnswerState,
    BrokenAnswer,
    Release,
    apply_chunk,
    apply_end,
    apply_head,
    empty_answer,
    rewind,
    unreleased_bytes,
)
from clementinebend_records.identifiers import GrantId, Incarnation, RequestKey, RunId
from clementinebend_records.messages import Receipt, RunChunk, RunEnd, RunHead

RUN = RunId("r1")
RECEIPT = Receipt(
    RequestKey("k"), RUN, "b", GrantId("g"), Incarnation("e#1"), "engine", 5, True
)
EVENTS = b'data: {"a": "data: [DONE]"}\n\ndata: {"b": 2}\n\n'
DONE = b"data: [DONE]\n\n"
ANSWER = EVENTS + DONE


def started_answer(stream: bool = True) -> AnswerState:
    head = RunHead(RUN, 200, "text/event-stream" if stream else "application/json")
    answer, broken = apply_head(empty_answer(stream), head)
    assert broken is None
    return answer


def transmit(answer: AnswerState, pieces: list[bytes]) -> tuple[AnswerState, bytes]:
    """Apply chunks from the start of a transmission; return released bytes."""
    answer = rewind(answer)
    released = b""
    for sequence, data in enumerate(pieces):
        answer, result = apply_chunk(answer, RunChunk(RUN, sequence, data))
        assert isinstance(result, Release), result
        released += result.data
    return answer, released


def split(data: bytes, places: list[int]) -> list[bytes]:
    ends = sorted({place % (len(data) + 1) for place in places} | {0, len(data)})
    return [data[a:b] for a, b in zip(ends, ends[1:], strict=False)]


@given(st.lists(st.integers(0, 200)), st.lists(st.integers(0, 200)), st.integers(0, 99))
def test_any_split_and_retransmission_gives_a_whole_answer_with_its_end_held(
    first: list[int], second: list[int], lost_after: int
) -> None:
    pieces = split(ANSWER, first)
    answer, early = transmit(started_answer(), pieces[: lost_after % (len(pieces) + 1)])
    answer, late = transmit(answer, split(ANSWER, second))
    assert EVENTS.startswith(early)
    assert early + late == EVENTS
    answer, broken = apply_end(answer, RunEnd(RUN, answer.sequence, RECEIPT))
    assert broken is None
    assert unreleased_bytes(answer) == DONE


def test_a_whole_body_is_kept_back_until_the_end() -> None:
    answer, released = transmit(started_answer(stream=False), [b'{"a":', b"1}"])
    assert released == b""
    answer, broken = apply_end(answer, RunEnd(RUN, 2, RECEIPT))
    assert broken is None
    assert unreleased_bytes(answer) == b'{"a":1}'


def test_a_gap_or_a_missing_piece_breaks_the_answer() -> None:
    answer, _ = transmit(started_answer(), [EVENTS])
    assert isinstance(apply_chunk(answer, RunChunk(RUN, 2, DONE))[1], BrokenAnswer)
    assert isinstance(apply_end(answer, RunEnd(RUN, 2, RECEIPT))[1], BrokenAnswer)


def test_a_stream_without_its_end_marker_is_not_whole() -> None:
    answer, _ = transmit(started_answer(), [EVENTS])
    assert isinstance(apply_end(answer, RunEnd(RUN, 1, RECEIPT))[1], BrokenAnswer)


def test_another_runs_answer_is_never_spliced_onto_what_was_sent() -> None:
    answer, released = transmit(started_answer(), [EVENTS])
    assert released == EVENTS
    answer = rewind(answer)
    other = EVENTS.replace(b"2", b"3") + DONE
    assert isinstance(apply_chunk(answer, RunChunk(RUN, 0, other))[1], BrokenAnswer)


def test_another_runs_answer_replaces_what_was_not_sent() -> None:
    answer, _ = transmit(started_answer(stream=False), [b"first answer"])
    answer, _ = transmit(answer, [b"fir", b"e"])
    answer, broken = apply_end(answer, RunEnd(RUN, 2, RECEIPT))
    assert broken is None
    assert unreleased_bytes(answer) == b"fire"


def test_a_shorter_transmission_than_what_was_sent_is_broken() -> None:
    answer, _ = transmit(started_answer(), [EVENTS])
    answer, _ = transmit(answer, [EVENTS[:10]])
    assert isinstance(apply_end(answer, RunEnd(RUN, 1, RECEIPT))[1], BrokenAnswer)
