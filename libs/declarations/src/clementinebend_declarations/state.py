"""State of the configuration stream's replay, and the outcomes it gives."""

from enum import StrEnum
from typing import Any, NamedTuple

from clementinebend_declarations.deltas import document_digest
from clementinebend_declarations.models import Configuration


class AuditResult(StrEnum):
    """What became of a publication or activation."""

    PUBLISHED = "published"
    ACTIVATED = "activated"
    CONFLICT = "conflict"
    REJECTED = "rejected"


class AuditEntry(NamedTuple):
    """Who tried to change the configuration, when, and with what result.

    ``revision`` is the one in force afterwards; ``paths`` are the first of
    the key paths that were changed.
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
    """A record was made from ``base_revision``, and ``revision`` is in force."""

    base_revision: int
    revision: int
    offset: int
    author: str


class Rejected(NamedTuple):
    """A record breaks a rule; every node rejects it alike."""

    reason: str
    offset: int
    author: str


class Activated(NamedTuple):
    """Publications up to schema ``version`` are allowed from now on."""

    version: int
    revision: int
    offset: int
    author: str


class UnsupportedSchema(NamedTuple):
    """Schema ``version`` is activated and this node cannot read it: it must leave."""

    version: int


class Diverged(NamedTuple):
    """A checkpoint differs from this node's replay: one of them is wrong."""

    offset: int
    expected: str
    found: str


ConfigurationOutcome = (
    Published | Conflict | Rejected | Activated | UnsupportedSchema | Diverged
)


class ConfigurationState(NamedTuple):
    """What replay has made of the stream up to ``offset``.

    ``sequences`` has the last batch of each recent writer, the latest writer
    at its end. ``digests`` has this state's digest at recent offsets; it is
    this node's own and no part of a checkpoint.
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
