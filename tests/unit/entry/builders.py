"""Builders of declarations, requests and calls for tests of the entry."""

from hashlib import sha256
from json import dumps
from typing import Any

from clementinebend_declarations.models import (
    Budget,
    Configuration,
    Declarations,
    RoutingRule,
    Service,
    ServiceKind,
    Team,
    TopUpDeclaration,
)
from clementinebend_entry.calls import Call, parse_call
from clementinebend_entry.lookup import Directory, directory_of
from clementinebend_transport.http_server import Request

NOW = 100.0
CHAT = "/v1/chat/completions"

DECLARATIONS = Declarations(
    teams={
        "desk": Team((sha256(b"desk-key").hexdigest(),)),
        "rival": Team((sha256(b"rival-key").hexdigest(),)),
    },
    budgets={
        "desk-2026": Budget(
            "desk", ("chat", "booking"), (TopUpDeclaration("first", 1000),)
        ),
        "desk-extra": Budget("desk", ("chat",)),
        "rival-2026": Budget("rival", ("chat",)),
    },
    services={
        "chat": Service(ServiceKind.MODEL, models=("m1",), max_output_tokens=200),
        "chat-rival": Service(ServiceKind.MODEL, models=("m1",)),
        "booking": Service(ServiceKind.PLAIN, path="/booking", cost=50),
        "quota": Service(ServiceKind.PLAIN, path="/booking/quota", cost=0),
    },
    routing_rules=(
        RoutingRule("m1", "chat"),
        RoutingRule("m1", "chat-rival", team="rival"),
        RoutingRule("secret", "chat-rival", team="rival"),
    ),
)


def directory() -> Directory:
    """Return an index of the declarations."""
    return directory_of(Configuration(revision=1, declarations=DECLARATIONS))


def chat_request(body: Any = None, key: str = "desk-key", **headers: str) -> Request:
    """Return a chat request; underscores in header names stand for hyphens."""
    content = {"model": "m1", "messages": [{"role": "user", "content": "Prešov"}]}
    encoded = body if isinstance(body, bytes) else dumps(body or content).encode()
    return request("POST", CHAT, encoded, key, **headers)


def request(
    method: str, target: str, body: bytes = b"", key: str = "desk-key", **headers: str
) -> Request:
    """Return a request with a bearer key."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return Request(method, target, {"authorization": f"Bearer {key}", **named}, body)


def parsed(made: Request) -> Any:
    """Return the parsed call of a request, or the parse error."""
    result = parse_call(made, directory(), NOW)
    return result.ok if result.is_ok() else result.error


def chat_call(**changes: Any) -> Call:
    """Return a chat call with some fields changed."""
    call = parsed(chat_request())
    assert isinstance(call, Call)
    return call._replace(**changes)
