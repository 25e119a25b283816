"""Finds the end marker, the usage and errors in a streamed answer.

Pieces are relayed as they come; only events that may tell the usage or an
error are parsed. An event may be split over pieces anywhere. Source: server-sent events
(WHATWG HTML), OpenAI API reference (``stream_options.include_usage``).
"""

from collections.abc import Iterable
from typing import Any, NamedTuple, TypedDict

from msgspec import DecodeError, ValidationError
from msgspec.json import decode

EVENT_END = b"\n\n"
DATA = b"data:"
DONE = b"[DONE]"
USAGE_FIELD = b'"usage"'
ERROR_FIELD = b'"error"'


class Usage(TypedDict):
    """Tokens that an engine says a run took."""

    prompt_tokens: int
    completion_tokens: int


class Told(TypedDict, total=False):
    """The part of an answer that is read here; other fields are ignored."""

    usage: Usage | None
    error: Any


class Scan(NamedTuple):
    """What is known so far; ``rest`` is the event that has not ended yet.

    ``usage`` is in tokens, from the last event that told it. ``done`` is true
    while the last event is the end marker; ``failed`` stays true after an
    event that told of an error.
    """

    rest: bytes = b""
    usage: int | None = None
    done: bool = False
    failed: bool = False


def scan_piece(scan: Scan, piece: bytes) -> Scan:
    """Return what is known after one more piece."""
    data = (scan.rest + piece).replace(b"\r\n", b"\n")
    whole, end, rest = data.rpartition(EVENT_END)
    if not end:
        return scan._replace(rest=data)
    return _after_events(scan, whole, rest)


def scan_end(scan: Scan) -> Scan:
    """Return what is known once the body has ended whole.

    A last event may lack its empty line.
    """
    rest = scan.rest.strip()
    return _after_events(scan, rest, b"") if rest else scan


def usage_of(answer: bytes) -> int | None:
    """Return the tokens in an answer or event of JSON, None if not told."""
    usage = _read(answer).get("usage")
    return usage and usage["prompt_tokens"] + usage["completion_tokens"]


def _after_events(scan: Scan, whole: bytes, rest: bytes) -> Scan:
    events = whole.split(EVENT_END)
    usage = _last_usage(events) if USAGE_FIELD in whole else None
    return Scan(
        rest=rest,
        usage=scan.usage if usage is None else usage,
        done=_payload(events[-1]) == DONE,
        failed=scan.failed or (ERROR_FIELD in whole and _any_error(events)),
    )


def _last_usage(events: Iterable[bytes]) -> int | None:
    told = [usage_of(_payload(event)) for event in events if USAGE_FIELD in event]
    return next((usage for usage in reversed(told) if usage is not None), None)


def _any_error(events: Iterable[bytes]) -> bool:
    suspects = (event for event in events if ERROR_FIELD in event)
    return any(_read(_payload(event)).get("error") for event in suspects)


def _read(answer: bytes) -> Told:
    try:
        return decode(answer, type=Told)
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError):
        return Told()


def _payload(event: bytes) -> bytes:
    return event.strip().removeprefix(DATA).strip()
