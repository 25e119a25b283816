"""What is sent to an engine, and what its answers prove."""

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import decode
from pytest import mark

from clementinebend_declarations.models import ServiceKind
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.messages import RunStart, Ticket
from clementinebend_records.reasons import NotRunReason
from clementinebend_sidecar.endpoint.bodies import engine_body
from clementinebend_sidecar.endpoint.scan import Scan, scan_end, scan_piece
from clementinebend_sidecar.endpoint.verdicts import (
    model_verdict,
    no_answer,
    plain_verdict,
    refused_by_engine,
    stream_verdict,
)
from clementinebend_sidecar.gate.costs import Cost, cost_of
from clementinebend_sidecar.gate.events import Broken, Refused, Whole
from tests.unit.sidecar.gates import run_start

TEXT = b'data: {"choices":[{"text":"a \\"usage\\" of [DONE]"}],"usage":null}\n\n'
USAGE = b'data: {"usage":{"prompt_tokens":3,"completion_tokens":4}}\n\n'
DONE = b"data: [DONE]\n\n"


def with_body(body: bytes, stream: bool = True) -> RunStart:
    return run_start("r1")._replace(body=body, stream=stream)


def test_the_engine_gets_the_reserved_token_limit() -> None:
    body = b'{"prompt":"x","max_tokens":9999,"max_completion_tokens":9999}'
    sent = decode(engine_body(with_body(body)).ok)
    assert sent == {
        "prompt": "x",
        "max_tokens": 10,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    whole = decode(engine_body(with_body(body, stream=False)).ok)
    assert "stream_options" not in whole


@mark.parametrize("body", [b"[1]", b"{", b'{"n":2}', b'{"best_of":3}', b"\xff"])
def test_a_body_beyond_the_reservation_is_not_sent(body: bytes) -> None:
    assert engine_body(with_body(body)).is_error()


@settings(derandomize=True, database=None, max_examples=300, deadline=None)
@given(st.data())
def test_marker_and_usage_are_found_however_the_stream_is_cut(
    data: st.DataObject,
) -> None:
    newline = data.draw(st.sampled_from((b"\n", b"\r\n")))
    events = (TEXT * 2 + USAGE + DONE).replace(b"\n", newline)
    end = data.draw(st.integers(0, len(events)))
    cuts = sorted(data.draw(st.sets(st.integers(0, end))) | {0, end})
    scan = Scan()
    for start, stop in zip(cuts, cuts[1:], strict=False):
        scan = scan_piece(scan, events[start:stop])
    scan = scan_end(scan)
    done = end >= events.rindex(b"]") + 1
    usage_seen = end >= events.rindex(b"}") + 1
    assert scan.done == done
    assert scan.usage == (7 if usage_seen else None)
    verdict = stream_verdict(scan, stopped=False)
    assert isinstance(verdict, Whole if done else Broken)


def test_an_error_event_is_never_whole_even_with_an_end_marker() -> None:
    scan = scan_piece(Scan(), TEXT + b'data: {"error":{"message":"oom"}}\n\n' + DONE)
    assert isinstance(stream_verdict(scan, stopped=False), Broken)


def test_what_an_unanswered_request_proves() -> None:
    refused = no_answer(sent=False, message="no connection")
    assert isinstance(refused, Refused)
    assert refused.reason is NotRunReason.UNREACHABLE
    unknown = no_answer(sent=True, message="reset")
    assert unknown == Broken("reset", usage=None, certain=False)


def test_what_a_status_of_an_engine_proves() -> None:
    reasons = {status: refused_by_engine(status) for status in (200, 400, 500, 599)}
    assert set(reasons.values()) == {None}
    refused = [refused_by_engine(status) for status in (404, 429, 503)]
    assert all(isinstance(each, Refused) for each in refused)
    assert model_verdict(400, b"{}", stopped=False) == Whole(0, succeeded=False)
    assert isinstance(model_verdict(500, b"{}", stopped=False), Broken)


def test_a_whole_answer_that_is_cut_off_or_cancelled_is_not_whole() -> None:
    body = b'{"usage":{"prompt_tokens":3,"completion_tokens":4}}'
    assert model_verdict(200, body, stopped=False) == Whole(7, succeeded=True)
    cut_off = model_verdict(200, body[:-1], stopped=False)
    assert cut_off == Broken("the engine's answer is cut off", None, certain=True)
    cancelled = model_verdict(200, body, stopped=True)
    assert cancelled == Broken("the run was cancelled", 7, certain=True)


def test_a_plain_service_is_billed_its_cost_also_when_it_fails() -> None:
    ticket = run_start("r1", amount=5).ticket
    assert isinstance(ticket, Ticket)
    assert cost_of(ServiceKind.PLAIN, ticket, None) == Cost(5, 0, told=True)
    assert plain_verdict(404) == Whole(None, succeeded=False)
    assert isinstance(plain_verdict(500), Broken)
    assert ticket.sidecar == Incarnation("engine-1#a")
