"""State and outcomes of the replay of the configuration stream."""

from enum import StrEnum
from typing import Any, NamedTuple

from clementinebend_declarations.deltas import document_digest
from clementinebend_declarations.models import Configuration


class AuditResult(StrEnum):
    """Result of a publication or activation."""

    PUBLISHED = "published"
    ACTIVATED = "activated"
    CONFLICT = "conflict"
    REJECTED = "rejected"


class AuditEntry(NamedTuple):
    """Who tried to change the configuration, when, and with what result.

    ``revision`` is in force afterwards; ``paths`` are the first of the changed
    key paths.
    """

    offset: int
    author: str
    published_at: str
    source: str
    base_revision: int
    revision: int
    schema_version: int
    result: AuditResult
    reason: str = ""
    paths: tuple[str, ...] = ()


class Published(NamedTuple):
    """A publication is in force as ``revision``."""

    revision: int
    offset: int
    author: str


class Conflict(NamedTuple):
    """A record is based on ``base_revision``, but ``revision`` is in force."""

    base_revision: int
    revision: int
    offset: int
    author: str


class Rejected(NamedTuple):
    """A record violates a rule; all nodes reject it with the same reason."""

    reason: str
    offset: int
    author: str


class Activated(NamedTuple):
    """Publications up to schema ``version`` are allowed after this offset."""

    version: int
    revision: int
    offset: int
    author: str


class UnsupportedSchema(NamedTuple):
    """Schema ``version`` is activated, but this node cannot read it and must leave."""

    version: int


class Diverged(NamedTuple):
    """The digest of a checkpoint differs from that of this node's replay."""

    offset: int
    expected: str
    found: str


ConfigurationOutcome = (
    Published | Conflict | Rejected | Activated | UnsupportedSchema | Diverged
)


class ConfigurationState(NamedTuple):
    """Result of the replay of the stream up to ``offset``.

    ``sequences`` maps each recent writer to the sequence of its last batch, with
    the most recent writer at the end. ``digests`` maps recent offsets to the digest
    of the state there; it is local to this node and not part of a checkpoint.
    """

    configuration: Configuration
    document: dict[str, Any]
    offset: int
    sequences: dict[str, int]
    audit: tuple[AuditEntry, ...]
    digests: dict[int, str]


def empty_configuration_state() -> ConfigurationState:
    """Return the state before the stream's first record."""
    configuration = Configuration(digest=document_digest({}))
    return ConfigurationState(configuration, {}, -1, {}, (), {})


def configuration_of(state: ConfigurationState) -> Configuration:
    """Return the configuration in force."""
    return state.configuration


def document_of(state: ConfigurationState) -> dict[str, Any]:
    """Return the document in force, as operators write it."""
    return state.document
