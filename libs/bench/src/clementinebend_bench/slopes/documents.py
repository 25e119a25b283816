"""Declarations of any size, and the records that put them on the log."""

from collections.abc import Sequence
from hashlib import sha256
from typing import Any

from clementinebend_declarations.deltas import diff_documents, document_digest
from clementinebend_declarations.schemas import FIRST_SCHEMA
from clementinebend_records.records import Publication, TopUp

TOKENS = 10**9
LOCALHOST = "127.0.0.1"
MODELS = 12
"""One service for each, and one budget of each team for each service."""

AUTHOR = "jana"
WEIGHTS = 7


def team_name(number: int) -> str:
    """Return the name of a team."""
    return f"team-{number:05}"


def budget_name(number: int) -> str:
    """Return the name of a budget."""
    return f"budget-{number:05}"


def service_name(number: int) -> str:
    """Return the name of a model's service."""
    return f"service-{number:02}"


def model_name(number: int) -> str:
    """Return the name of a model."""
    return f"model-{number:02}"


def top_up_id(number: int) -> str:
    """Return the id of a budget's only top-up."""
    return f"{budget_name(number)}-first"


def document_of(
    budgets: int, ports: Sequence[int] = (), zones: Sequence[str] = ()
) -> dict[str, Any]:
    """Return declarations with ``budgets`` budgets and an endpoint at each port."""
    teams = range((budgets - 1) // MODELS + 1)
    return {
        "teams": {team_name(number): _team(number) for number in teams},
        "budgets": {budget_name(number): _budget(number) for number in range(budgets)},
        "services": {
            service_name(number): {"kind": "model", "models": [model_name(number)]}
            for number in range(MODELS)
        },
        "endpoints": {
            f"engine-{number}": _endpoint(port, zone)
            for number, (port, zone) in enumerate(zip(ports, zones, strict=True), 1)
        },
        "routing_rules": [
            {"model": model_name(number), "service": service_name(number)}
            for number in range(MODELS)
        ],
    }


def changed(document: dict[str, Any], number: int) -> dict[str, Any]:
    """Return a document with one team's weight changed."""
    name = team_name(number % len(document["teams"]))
    team = {**document["teams"][name], "weight": 1.0 + number % WEIGHTS + number}
    return {**document, "teams": {**document["teams"], name: team}}


def publication(base: int, old: dict[str, Any], new: dict[str, Any]) -> Publication:
    """Return the record that makes ``new`` of ``old``."""
    return Publication(
        base_revision=base,
        schema_version=FIRST_SCHEMA,
        source="4f1c2d9b7a60",
        author=AUTHOR,
        published_at="2026-12-02T18:00:00+00:00",
        changes=diff_documents(old, new),
        digest=document_digest(new),
    )


def top_ups(budgets: int) -> tuple[TopUp, ...]:
    """Return the declared top-ups of all budgets."""
    return tuple(
        TopUp(budget_name(number), top_up_id(number), TOKENS, AUTHOR)
        for number in range(budgets)
    )


def _team(number: int) -> dict[str, Any]:
    return {"key_digests": [sha256(team_name(number).encode()).hexdigest()]}


def _budget(number: int) -> dict[str, Any]:
    return {
        "team": team_name(number // MODELS),
        "services": [service_name(number % MODELS)],
        "top_ups": [{"id": top_up_id(number), "tokens": TOKENS}],
    }


def _endpoint(port: int, zone: str) -> dict[str, Any]:
    return {
        "service": service_name(0),
        "zone": zone,
        "host": LOCALHOST,
        "port": port,
        "models": [model_name(0)],
    }
