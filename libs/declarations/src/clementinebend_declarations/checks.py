"""Validation of well-formed declarations: value ranges and cross references.

Replay rejects publications by these rules, so all nodes must apply the same
ones: a rule may be added or changed only with a new schema version. The texts
of errors are stored in the audit trail, which the digest of the state covers.
"""

from collections.abc import Iterator
from itertools import chain

from clementinebend_declarations.bounds import (
    check_name,
    check_range,
    check_unique,
    declaration_error,
)
from clementinebend_declarations.check_services import check_endpoints, check_services
from clementinebend_declarations.exceptions import DeclarationError
from clementinebend_declarations.models import Budget, Declarations, Limits

MAX_WEIGHT = 1_000.0
MIN_WEIGHT = 0.001
MAX_TOP_UP_TOKENS = 1_000_000_000_000_000
MAX_BODY_BYTES = 64 * 1_048_576
MAX_DEADLINE_MS = 3_600_000
KEY_DIGEST_LENGTH = 64
HEX_DIGITS = frozenset("0123456789abcdef")
ANY_TEAM = "*"

Errors = Iterator[DeclarationError]


def check_declarations(declarations: Declarations) -> tuple[DeclarationError, ...]:
    """Return all errors in declarations that match the schema."""
    return tuple(
        chain(
            _check_teams(declarations),
            _check_budgets(declarations),
            check_services(declarations),
            check_endpoints(declarations),
            _check_routing_rules(declarations),
            _check_limits(declarations.limits),
        )
    )


def _check_teams(declarations: Declarations) -> Errors:
    for name, team in declarations.teams.items():
        path = ("teams", name)
        yield from check_name(path)
        yield from check_range((*path, "weight"), team.weight, MIN_WEIGHT, MAX_WEIGHT)
        for index, digest in enumerate(team.key_digests):
            yield from _check_key_digest((*path, "key_digests", str(index)), digest)
    yield from check_unique(
        (
            (("teams", name, "key_digests", str(index)), digest)
            for name, team in declarations.teams.items()
            for index, digest in enumerate(team.key_digests)
        ),
        "a key that no other team shows",
    )


def _check_key_digest(path: tuple[str, ...], digest: str) -> Errors:
    if len(digest) != KEY_DIGEST_LENGTH or not HEX_DIGITS.issuperset(digest):
        allowed = f"the SHA-256 of the key: {KEY_DIGEST_LENGTH} digits 0-9 and a-f"
        yield declaration_error(path, f"is {digest!r}", allowed)


def _check_budgets(declarations: Declarations) -> Errors:
    for name, budget in declarations.budgets.items():
        path = ("budgets", name)
        yield from check_name(path)
        yield from _check_budget_references(path, budget, declarations)
        for index, top_up in enumerate(budget.top_ups):
            item_path = (*path, "top_ups", str(index))
            yield from check_name((*item_path, "id"), top_up.id)
            tokens = (*item_path, "tokens")
            yield from check_range(tokens, top_up.tokens, 1, MAX_TOP_UP_TOKENS)
    yield from check_unique(_top_up_ids(declarations), "an id used once only")
    yield from check_unique(
        _budgeted_services(declarations), "one budget of a team for each service"
    )


def _check_budget_references(
    path: tuple[str, ...], budget: Budget, declarations: Declarations
) -> Errors:
    if budget.team not in declarations.teams:
        item_path = (*path, "team")
        yield declaration_error(
            item_path, f"is {budget.team!r}", "the name of a declared team"
        )
    if not budget.services:
        item_path = (*path, "services")
        yield declaration_error(item_path, "is empty", "at least one declared service")
    for index, service in enumerate(budget.services):
        if service not in declarations.services:
            item_path = (*path, "services", str(index))
            yield declaration_error(
                item_path, f"is {service!r}", "the name of a declared service"
            )


def _top_up_ids(
    declarations: Declarations,
) -> Iterator[tuple[tuple[str, ...], str]]:
    for name, budget in declarations.budgets.items():
        for index, top_up in enumerate(budget.top_ups):
            yield ("budgets", name, "top_ups", str(index), "id"), top_up.id


def _budgeted_services(
    declarations: Declarations,
) -> Iterator[tuple[tuple[str, ...], tuple[str, str]]]:
    for name, budget in declarations.budgets.items():
        for index, service in enumerate(budget.services):
            path = ("budgets", name, "services", str(index))
            yield path, (budget.team, service)


def _check_routing_rules(declarations: Declarations) -> Errors:
    for index, rule in enumerate(declarations.routing_rules):
        path = ("routing_rules", str(index))
        if rule.team != ANY_TEAM and rule.team not in declarations.teams:
            allowed = f"a declared team, or {ANY_TEAM!r} for any"
            yield declaration_error((*path, "team"), f"is {rule.team!r}", allowed)
        service = declarations.services.get(rule.service)
        if service is None:
            allowed = "the name of a declared service"
            yield declaration_error((*path, "service"), f"is {rule.service!r}", allowed)
        elif rule.model not in service.models:
            allowed = f"a model of the service {rule.service!r}"
            yield declaration_error((*path, "model"), f"is {rule.model!r}", allowed)
    yield from check_unique(
        (
            (("routing_rules", str(index)), (rule.team, rule.model))
            for index, rule in enumerate(declarations.routing_rules)
        ),
        "one rule for each team and model",
    )


def _check_limits(limits: Limits) -> Errors:
    bounds = {
        "max_body_bytes": (1, MAX_BODY_BYTES),
        "max_deadline_ms": (1, MAX_DEADLINE_MS),
        "default_deadline_ms": (1, limits.max_deadline_ms),
        "retry_budget_ratio": (0, 1),
    }
    for field, (lowest, highest) in bounds.items():
        value = getattr(limits, field)
        yield from check_range(("limits", field), value, lowest, highest)
