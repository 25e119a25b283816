"""Requests and answers of the engine in the OpenAI shape.

Source: OpenAI API reference, chat completions and completions.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple, TypedDict

from msgspec import DecodeError, ValidationError
from msgspec.json import decode, encode

from clementinebend_standins.models.engine import Order, Run, RunStatus

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
DONE_EVENT = b"data: [DONE]\n\n"


class ContentPart(TypedDict, total=False):
    """A part of a message's content."""

    text: str


class ChatMessage(TypedDict, total=False):
    """One message of a chat."""

    content: str | list[ContentPart] | None


class StreamOptions(TypedDict, total=False):
    """Options of a streamed answer."""

    include_usage: bool


class CompletionBody(TypedDict, total=False):
    """The fields of a request that the engine uses; others are ignored."""

    model: str
    prompt: str
    messages: list[ChatMessage]
    max_tokens: int | None
    max_completion_tokens: int | None
    target_tokens: int | None
    stream: bool
    stream_options: StreamOptions | None


class Completion(NamedTuple):
    """A request for a completion, and the shape that its answer takes."""

    order: Order
    model: str
    chat: bool
    stream: bool
    include_usage: bool


class BadRequest(NamedTuple):
    """Why a request cannot be read."""

    message: str


def read_completion(
    path: str, body: bytes, run: str, priority: int
) -> Completion | BadRequest:
    """Return the request in a body."""
    try:
        fields = decode(body, type=CompletionBody)
    except (DecodeError, ValidationError, RecursionError) as error:
        return BadRequest(str(error))
    chat = path == CHAT_PATH
    needed = "messages" if chat else "prompt"
    if needed not in fields:
        return BadRequest(f"{needed} is missing")
    limit = _token_limit(fields)
    target = fields.get("target_tokens")
    if any(number is not None and number < 1 for number in (limit, target)):
        return BadRequest("token numbers must be at least 1")
    prompt = prompt_of(fields["messages"]) if chat else fields["prompt"]
    return Completion(
        Order(run, prompt, limit, priority, target),
        fields.get("model", ""),
        chat,
        fields.get("stream", False),
        (fields.get("stream_options") or {}).get("include_usage", False),
    )


def prompt_of(messages: list[ChatMessage]) -> str:
    """Return the prompt of a chat: the contents of its messages, joined."""
    return "".join(_content(message) for message in messages)


def usage_of(run: Run) -> dict[str, Any]:
    """Return what a run has cost so far, in tokens."""
    return {
        "prompt_tokens": run.prompt_used,
        "completion_tokens": run.generated,
        "total_tokens": run.prompt_used + run.generated,
        "prompt_tokens_details": {"cached_tokens": run.cached},
    }


def finish_reason(run: Run) -> str:
    """Return why a run ended."""
    if run.status is RunStatus.CANCELLED:
        return "abort"
    return "length" if run.length == run.order.limit else "stop"


def text_event(completion: Completion, text: str) -> bytes:
    """Return a streamed piece of the text."""
    content = {"delta": {"content": text}} if completion.chat else {"text": text}
    return _event(completion, [_choice(content, None)])


def end_event(completion: Completion, run: Run) -> bytes:
    """Return the streamed piece that says why the text ends."""
    content: dict[str, Any] = {"delta": {}} if completion.chat else {"text": ""}
    return _event(completion, [_choice(content, finish_reason(run))])


def usage_event(completion: Completion, run: Run) -> bytes:
    """Return the streamed piece that tells the usage."""
    return _event(completion, [], usage=usage_of(run))


def whole_answer(completion: Completion, run: Run, text: str) -> bytes:
    """Return an answer that is not streamed."""
    message = {"role": "assistant", "content": text}
    content = {"message": message} if completion.chat else {"text": text}
    choices = [_choice(content, finish_reason(run))]
    name = "chat.completion" if completion.chat else "text_completion"
    return encode({**_envelope(completion, name, choices), "usage": usage_of(run)})


def _token_limit(fields: CompletionBody) -> int | None:
    limits = (fields.get("max_tokens"), fields.get("max_completion_tokens"))
    return min((limit for limit in limits if limit is not None), default=None)


def _content(message: ChatMessage) -> str:
    content = message.get("content") or ""
    if isinstance(content, str):
        return content
    return "".join(part.get("text", "") for part in content)


def _choice(content: Mapping[str, Any], reason: str | None) -> dict[str, Any]:
    return {"index": 0, **content, "finish_reason": reason}


def _event(completion: Completion, choices: list[Any], **extra: Any) -> bytes:
    name = "chat.completion.chunk" if completion.chat else "text_completion"
    content = {**_envelope(completion, name, choices), **extra}
    return b"data: " + encode(content) + b"\n\n"


def _envelope(completion: Completion, name: str, choices: list[Any]) -> dict[str, Any]:
    return {
        "id": completion.order.run,
        "object": name,
        "created": 0,
        "model": completion.model,
        "choices": choices,
    }
