"""Validates the JSON body of a model request before tokens are reserved.

Only the fields that determine routing and cost are read; the engine handles
the rest. A field that multiplies the output (``n``, ``best_of``, several
prompts) is rejected because the reservation covers one output.
"""

from json import JSONDecodeError, loads
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from clementinebend_entry.outcomes import BadRequest

BAD_REQUEST = 400
CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
MODEL_PATHS = (CHAT_PATH, TEXT_PATH)
LIMIT_FIELDS = ("max_tokens", "max_completion_tokens")
SINGLE_FIELDS = ("n", "best_of")
MAX_OUTPUT_LIMIT = 1_000_000


class ModelBody(NamedTuple):
    """The fields that an entry reads; ``limit`` is 0 if no limit is set."""

    model: str
    limit: int
    stream: bool


def parse_model_body(path: str, body: bytes) -> Result[ModelBody, BadRequest]:
    """Return the fields for routing and cost, or which field is invalid."""
    try:
        value = loads(body.decode("utf-8"))
    except UnicodeDecodeError:
        return _wrong("body", "must be valid UTF-8")
    except (JSONDecodeError, RecursionError, ValueError):
        return _wrong("body", "must be valid JSON")
    if not isinstance(value, dict):
        return _wrong("body", "must be a JSON object")
    return _checked(path, value)


def _checked(path: str, value: dict[str, Any]) -> Result[ModelBody, BadRequest]:
    model = value.get("model")
    if not isinstance(model, str) or not model:
        return _wrong("model", "must be a string that names a model")
    stream = value.get("stream", False)
    if not isinstance(stream, bool):
        return _wrong("stream", "must be true or false")
    wrong = _prompt_error(path, value) or _single_error(value) or _limit_error(value)
    if wrong is not None:
        return Error(wrong)
    limits = [value[field] for field in LIMIT_FIELDS if value.get(field) is not None]
    return Ok(ModelBody(model, max(limits, default=0), stream))


def _prompt_error(path: str, value: dict[str, Any]) -> BadRequest | None:
    if path == TEXT_PATH:
        if isinstance(value.get("prompt"), str):
            return None
        return BadRequest(BAD_REQUEST, "prompt", "must be one string")
    messages = value.get("messages")
    if not isinstance(messages, list) or not messages:
        return BadRequest(BAD_REQUEST, "messages", "must be a list that is not empty")
    if not all(isinstance(message, dict) for message in messages):
        return BadRequest(BAD_REQUEST, "messages", "must hold objects only")
    return None


def _single_error(value: dict[str, Any]) -> BadRequest | None:
    many = (field for field in SINGLE_FIELDS if value.get(field, 1) not in (1, None))
    field = next(many, None)
    return field and BadRequest(BAD_REQUEST, field, "must be 1 or absent") or None


def _limit_error(value: dict[str, Any]) -> BadRequest | None:
    wrong = (
        field
        for field in LIMIT_FIELDS
        if value.get(field) is not None and not _is_limit(value[field])
    )
    field = next(wrong, None)
    if field is None:
        return None
    message = f"must be a whole number from 1 to {MAX_OUTPUT_LIMIT}"
    return BadRequest(BAD_REQUEST, field, message)


def _is_limit(value: Any) -> bool:
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    return is_whole and 1 <= value <= MAX_OUTPUT_LIMIT


def _wrong(field: str, message: str) -> Result[ModelBody, BadRequest]:
    return Error(BadRequest(BAD_REQUEST, field, message))
