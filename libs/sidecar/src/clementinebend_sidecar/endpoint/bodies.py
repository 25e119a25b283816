"""The body of a request as the model engine gets it.

The engine has to enforce the token limit that the reservation was worked out
from, so the body is rewritten once, here at the last gate.
"""

from typing import Any

from expression import Error, Ok, Result
from msgspec import DecodeError
from msgspec.json import decode, encode

from clementinebend_records.messages import RunStart

SEVERAL_ANSWERS = ("n", "best_of")
"""Fields that would multiply the output beyond the reservation."""


def engine_body(start: RunStart) -> Result[bytes, str]:
    """Return the body to send, or what is wrong with the caller's one."""
    try:
        fields = decode(start.body, type=dict[str, Any])
    except (DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(f"the body must be a JSON object: {error}")
    several = [name for name in SEVERAL_ANSWERS if fields.get(name) not in (None, 1)]
    if several:
        return Error(f"{several[0]} must be 1: one answer is reserved for a request")
    fields.pop("max_completion_tokens", None)
    fields["max_tokens"] = start.token_limit
    fields["stream"] = start.stream
    if start.stream:
        fields["stream_options"] = _with_usage(fields.get("stream_options"))
    return Ok(encode(fields))


def _with_usage(options: Any) -> dict[str, Any]:
    asked = options if isinstance(options, dict) else {}
    return {**asked, "include_usage": True}
