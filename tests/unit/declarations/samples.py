"""Sample documents, publications and batches for several tests."""

from copy import deepcopy
from hashlib import sha256
from typing import Any

from clementinebend_declarations.documents import diff_documents, document_digest
from clementinebend_declarations.replay import configuration_of
from clementinebend_declarations.schemas import FIRST_SCHEMA, VERSION_KEY
from clementinebend_declarations.state import ConfigurationState, document_of
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import (
    Batch,
    Publication,
    Record,
    SchemaActivation,
)

AUTHOR = "jana"
WRITER = Incarnation("operator#1")
PUBLISHED_AT = "2026-11-01T08:00:00Z"

DOCUMENT_V1: dict[str, Any] = {
    "teams": {
        "kosice": {"key_digests": [sha256(b"demo-key-kosice").hexdigest()]},
        "presov": {"key_digests": [], "weight": 2.5},
    },
    "budgets": {
        "kosice-lookups": {
            "team": "kosice",
            "services": ["shared"],
            "top_ups": [{"id": "q4", "tokens": 5_000}],
        }
    },
    "services": {
        "shared": {"kind": "model", "models": ["listing-7b"]},
        "booking": {"kind": "plain", "path": "/booking", "cost": 50},
    },
    "endpoints": {
        "engine-1": {
            "service": "shared",
            "zone": "zilina-a",
            "host": "127.0.0.1",
            "port": 9001,
        }
    },
    "routing_rules": [{"model": "listing-7b", "service": "shared"}],
    "limits": {"max_body_bytes": 65_536},
}


def document(version: int = FIRST_SCHEMA) -> dict[str, Any]:
    """Return a copy of the sample document in one of the schema versions."""
    copied = deepcopy(DOCUMENT_V1)
    if version == FIRST_SCHEMA:
        return copied
    copied["endpoints"]["engine-1"]["state"] = "serving"
    copied["teams"]["kosice"]["receipt_safety"] = "two_zones"
    return copied | {VERSION_KEY: version}


def publication(
    state: ConfigurationState, changed: dict[str, Any], **fields: Any
) -> Publication:
    """Return a publication that changes the document of ``state`` to ``changed``."""
    record = Publication(
        base_revision=configuration_of(state).revision,
        schema_version=changed.get(VERSION_KEY, FIRST_SCHEMA),
        source="4f2a",
        author=AUTHOR,
        published_at=PUBLISHED_AT,
        changes=diff_documents(document_of(state), changed),
        digest=document_digest(changed),
    )
    return record._replace(**fields)


def activation(state: ConfigurationState, version: int) -> SchemaActivation:
    """Return an activation of schema ``version`` on the revision of ``state``."""
    revision = configuration_of(state).revision
    return SchemaActivation(revision, version, AUTHOR, PUBLISHED_AT)


def batch(sequence: int, *records: Record, writer: Incarnation = WRITER) -> Batch:
    """Return a batch of records."""
    return Batch(writer, sequence, records)
