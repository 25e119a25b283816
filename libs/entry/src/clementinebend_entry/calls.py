"""Parses HTTP requests into calls: team, service, budget, cost and deadline."""

from secrets import token_hex
from typing import NamedTuple

from expression import Error, Ok, Result

from clementinebend_declarations.models import ReceiptSafety, Service, ServiceKind
from clementinebend_entry.headers import CallHeaders, parse_headers
from clementinebend_entry.lookup import (
    Directory,
    NamedService,
    NamedTeam,
    find_budget,
    find_model_service,
    find_plain_service,
    find_team,
)
from clementinebend_entry.model_body import (
    MODEL_PATHS,
    ModelBody,
    parse_model_body,
)
from clementinebend_entry.outcomes import BadRequest, Refusal
from clementinebend_records.identifiers import (
    RequestKey,
    digest_of,
    request_key,
)
from clementinebend_records.reasons import NotRunReason
from clementinebend_transport.http_server import Request

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
MILLISECONDS = 1000
GENERATED_KEY_BYTES = 16
NO_BUDGET_RETRY_MS = 60_000


class Call(NamedTuple):
    """A validated request; ``deadline`` is in monotonic seconds.

    ``amount`` is the upper bound of its cost in tokens.
    ``has_idempotency_key`` is true if the caller sent the key, and so may
    retry the request to fetch the answer; otherwise the key is generated.
    """

    key: RequestKey
    has_idempotency_key: bool
    body_digest: str
    team: str
    weight: float
    receipt_safety: ReceiptSafety
    service: str
    kind: ServiceKind
    model: str
    budget: str
    amount: int
    token_limit: int
    method: str
    path: str
    content_type: str
    body: bytes
    stream: bool
    idempotent: bool
    priority: int
    deadline: float


def parse_call(
    request: Request, directory: Directory, now: float
) -> Result[Call, BadRequest | Refusal]:
    """Return the call that a request describes, or why it is rejected."""
    headers = parse_headers(request.headers, directory.declarations.limits)
    match headers:
        case Result(tag="ok", ok=parsed):
            return _parse_for_team(request, directory, parsed, now)
        case Result(error=wrong):
            return Error(wrong)


def _parse_for_team(
    request: Request, directory: Directory, headers: CallHeaders, now: float
) -> Result[Call, BadRequest | Refusal]:
    team = find_team(directory, headers.bearer)
    if team is None:
        message = "no team has this key"
        return Error(BadRequest(UNAUTHORIZED, "authorization", message))
    path = request.target.partition("?")[0]
    if path in MODEL_PATHS:
        return _parse_model_call(request, directory, headers, team, now)
    return _parse_plain_call(request, directory, headers, team, now)


def _parse_model_call(
    request: Request,
    directory: Directory,
    headers: CallHeaders,
    team: NamedTeam,
    now: float,
) -> Result[Call, BadRequest | Refusal]:
    if request.method != "POST":
        return Error(BadRequest(405, "method", "must be POST"))
    path = request.target.partition("?")[0]
    match parse_model_body(path, request.body):
        case Result(tag="ok", ok=body):
            found = find_model_service(directory, team.name, body.model)
        case Result(error=wrong):
            return Error(wrong)
    if found is None:
        message = f"no routing rule of this team names the model {body.model!r}"
        return Error(BadRequest(NOT_FOUND, "model", message))
    ceiling = found.service.max_output_tokens
    if body.limit > ceiling:
        message = f"must be at most {ceiling}, the limit of this service"
        return Error(BadRequest(BAD_REQUEST, "max_tokens", message))
    return _build_call(request, directory, headers, team, found, body, now)


def _parse_plain_call(
    request: Request,
    directory: Directory,
    headers: CallHeaders,
    team: NamedTeam,
    now: float,
) -> Result[Call, BadRequest | Refusal]:
    found = find_plain_service(directory, request.target)
    if found is None:
        return Error(BadRequest(NOT_FOUND, "path", "no service has this path"))
    return _build_call(request, directory, headers, team, found, None, now)


def _build_call(
    request: Request,
    directory: Directory,
    headers: CallHeaders,
    team: NamedTeam,
    found: NamedService,
    body: ModelBody | None,
    now: float,
) -> Result[Call, BadRequest | Refusal]:
    budget = find_budget(directory, team.name, found.name, headers.budget)
    if not budget and headers.budget:
        message = "names no budget of this team for this service"
        return Error(BadRequest(BAD_REQUEST, "x-budget", message))
    if not budget:
        message = f"no budget of this team covers the service {found.name!r}"
        refusal = Refusal(NotRunReason.BUDGET_EXHAUSTED, NO_BUDGET_RETRY_MS, message)
        return Error(refusal)
    key = headers.idempotency_key or token_hex(GENERATED_KEY_BYTES)
    limit = token_limit(found.service, body)
    return Ok(
        Call(
            key=request_key(team.name, key),
            has_idempotency_key=bool(headers.idempotency_key),
            body_digest=request_digest(request),
            team=team.name,
            weight=team.team.weight,
            receipt_safety=team.team.receipt_safety,
            service=found.name,
            kind=found.service.kind,
            model=body.model if body else "",
            budget=budget,
            amount=max_cost(found.service, request.body, limit),
            token_limit=limit,
            method=request.method,
            path=request.target,
            content_type=request.headers.get("content-type", ""),
            body=request.body,
            stream=body is not None and body.stream,
            idempotent=is_idempotent(found.service, request.method),
            priority=headers.priority,
            deadline=now + headers.deadline_ms / MILLISECONDS,
        )
    )


def token_limit(service: Service, body: ModelBody | None) -> int:
    """Return the output limit for the engine to enforce; 0 if no model is used."""
    if body is None:
        return 0
    return body.limit or service.max_output_tokens


def max_cost(service: Service, body: bytes, limit: int) -> int:
    """Return the upper bound of the cost of a request, in tokens.

    A prompt has at most as many tokens as bytes, and the JSON body is at least
    as long as the prompt it contains.
    """
    if service.kind is ServiceKind.PLAIN:
        return service.cost
    return len(body) + limit


def is_idempotent(service: Service, method: str) -> bool:
    """Return whether a call may be repeated; model calls always may."""
    return service.kind is ServiceKind.MODEL or method in service.idempotent_methods


def request_digest(request: Request) -> str:
    """Return the digest that identifies a retry as the same request."""
    start = f"{request.method} {request.target}\n".encode()
    return digest_of(start + request.body)
