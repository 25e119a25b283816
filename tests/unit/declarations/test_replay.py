"""Replay of the configuration: one accepted record per base revision."""

from typing import Any

import pytest

from clementinebend_declarations.exceptions import CheckpointError
from clementinebend_declarations.replay import (
    MAX_AUDIT_ENTRIES,
    MAX_WRITERS,
    configuration_checkpoint,
    configuration_digest,
    configuration_of,
    empty_configuration_state,
    replay_configuration,
    restore_configuration,
)
from clementinebend_declarations.state import (
    Activated,
    AuditResult,
    ConfigurationState,
    Conflict,
    Diverged,
    Published,
    Rejected,
    UnsupportedSchema,
    document_of,
)
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Change, Checkpoint
from tests.unit.declarations.samples import (
    AUTHOR,
    activation,
    batch,
    document,
    publication,
)

OTHER_WRITER = Incarnation("operator#2")


def state_with_document(version: int = 1) -> ConfigurationState:
    """Return a state with the sample document in force."""
    state = empty_configuration_state()
    if version > 1:
        record = activation(state, version)
        state, _ = replay_configuration(state, 0, batch(1, record))
    record_of_document = publication(state, document(version))
    following = batch(2, record_of_document)
    state, outcomes = replay_configuration(state, state.offset + 1, following)
    assert isinstance(outcomes[0], Published)
    return state


def test_first_publication_on_a_base_wins_and_the_rest_conflict() -> None:
    state = empty_configuration_state()
    first = publication(state, document())
    second = publication(state, document() | {"limits": {}}, author="milan")
    state, outcomes = replay_configuration(state, 4, batch(1, first))
    assert outcomes == (Published(1, 4, AUTHOR),)
    state, outcomes = replay_configuration(
        state, 5, batch(1, second, writer=OTHER_WRITER)
    )
    assert outcomes == (Conflict(0, 1, 5, "milan"),)
    assert document_of(state) == document()
    results = [(entry.author, entry.result, entry.revision) for entry in state.audit]
    assert results == [
        (AUTHOR, AuditResult.PUBLISHED, 1),
        ("milan", AuditResult.CONFLICT, 1),
    ]


def test_repeated_batch_or_offset_has_no_effect() -> None:
    state = state_with_document()
    repeated = publication(state, {})
    again, outcomes = replay_configuration(state, state.offset + 1, batch(2, repeated))
    assert outcomes == () and configuration_of(again) == configuration_of(state)
    assert again.audit == state.audit
    same, outcomes = replay_configuration(state, state.offset, batch(9, repeated))
    assert outcomes == () and same == state


def set_unknown_team(changed: dict[str, Any]) -> None:
    changed["budgets"]["kosice-lookups"]["team"] = "nobody"


def change_top_up(changed: dict[str, Any]) -> None:
    changed["budgets"]["kosice-lookups"]["top_ups"][0]["tokens"] = 6_000


def remove_top_up(changed: dict[str, Any]) -> None:
    changed["budgets"]["kosice-lookups"]["top_ups"] = []


def remove_budget(changed: dict[str, Any]) -> None:
    del changed["budgets"]["kosice-lookups"]


def set_schema_2(changed: dict[str, Any]) -> None:
    changed["schema_version"] = 2


@pytest.mark.parametrize(
    ("edit", "fields", "reason"),
    [
        (set_unknown_team, {}, "budgets.kosice-lookups.team is 'nobody'"),
        (change_top_up, {}, "the top-up 'q4' of the budget 'kosice-lookups'"),
        (remove_top_up, {}, "it may neither change nor go"),
        (remove_budget, {}, "it may neither change nor go"),
        (None, {"digest": "0" * 24}, "does not give the digest"),
        (set_schema_2, {}, "schema 2 is not activated"),
        (set_schema_2, {"schema_version": 1}, "document is of schema 2"),
        (None, {"schema_version": 0}, "schema 0 is not activated"),
        (None, {"changes": (Change(("teams",), b"\xff"),)}, "not every node"),
        (None, {"changes": (Change(("a",) * 9_999, 1),)}, "not every node"),
        (None, {"changes": (Change(("\ud800",), 1),)}, "not every node"),
    ],
)
def test_invalid_publication_is_rejected_without_changes(
    edit: Any, fields: dict[str, Any], reason: str
) -> None:
    state = state_with_document()
    changed = document()
    if edit is not None:
        edit(changed)
    record = publication(state, changed, **fields)
    after, outcomes = replay_configuration(state, 9, batch(3, record))
    assert isinstance(outcomes[0], Rejected) and reason in outcomes[0].reason
    assert configuration_of(after) == configuration_of(state)
    assert document_of(after) == document_of(state)
    assert after.audit[-1].result is AuditResult.REJECTED


@pytest.mark.parametrize("version", [1, 3, 9])
def test_activation_must_raise_the_schema_by_one(version: int) -> None:
    state = state_with_document()
    record = activation(state, version)
    after, outcomes = replay_configuration(state, 9, batch(3, record))
    assert isinstance(outcomes[0], Rejected)
    assert configuration_of(after) == configuration_of(state)


def test_publication_on_the_base_of_an_activation_conflicts() -> None:
    state = state_with_document()
    late = publication(state, document() | {"limits": {}})
    state, outcomes = replay_configuration(state, 9, batch(3, activation(state, 2)))
    assert outcomes == (Activated(2, 2, 9, AUTHOR),)
    state, outcomes = replay_configuration(state, 10, batch(4, late))
    assert outcomes == (Conflict(1, 2, 10, AUTHOR),)
    record = publication(state, document(2))
    state, outcomes = replay_configuration(state, 11, batch(5, record))
    assert outcomes == (Published(3, 11, AUTHOR),)


def test_node_stops_at_an_unsupported_schema() -> None:
    before = state_with_document()
    record = batch(3, activation(before, 2))
    stopped, outcomes = replay_configuration(before, 9, record, max_readable_schema=1)
    assert outcomes[-1] == UnsupportedSchema(2)
    continued, _ = replay_configuration(before, 9, record)
    assert configuration_digest(stopped) == configuration_digest(continued)
    later = batch(4, publication(stopped, document(2)))
    after, outcomes = replay_configuration(stopped, 10, later, max_readable_schema=1)
    assert after == stopped and outcomes == (UnsupportedSchema(2),)


def test_activation_ends_its_batch_on_all_nodes() -> None:
    before = state_with_document()
    record = activation(before, 2)
    advanced, _ = replay_configuration(before, 9, batch(3, record))
    both = batch(3, record, publication(advanced, document(2)))
    new, outcomes = replay_configuration(before, 9, both)
    old, _ = replay_configuration(before, 9, both, max_readable_schema=1)
    assert isinstance(outcomes[1], Rejected)
    assert configuration_digest(new) == configuration_digest(old)


def test_checkpoint_restores_the_whole_state() -> None:
    state = state_with_document(2)
    restored = restore_configuration(configuration_checkpoint(state))
    assert restored == state._replace(digests={})
    more = batch(3, publication(state, document(2) | {"limits": {}}))
    ours, _ = replay_configuration(state, 9, more)
    theirs, _ = replay_configuration(restored, 9, more)
    assert configuration_digest(ours) == configuration_digest(theirs)


def test_older_checkpoint_does_not_replace_a_newer_state() -> None:
    older = state_with_document()
    record = publication(older, document() | {"limits": {}})
    newer, _ = replay_configuration(older, 9, batch(3, record))
    checkpoint = configuration_checkpoint(older)
    assert restore_configuration(checkpoint, newer) is newer
    forward = restore_configuration(configuration_checkpoint(newer), older)
    assert configuration_of(forward) == configuration_of(newer)


def damaged_checkpoints() -> list[Checkpoint]:
    whole = configuration_checkpoint(state_with_document())
    return [
        whole._replace(state=whole.state.replace(b"5000", b"9000")),
        whole._replace(state=whole.state.replace(b'"revision":1', b'"revision":7')),
        whole._replace(offset=whole.offset + 1),
        whole._replace(digest="0" * 24),
        whole._replace(state=b"\xff\xfe"),
        whole._replace(state=b"[" * 100_000),
        whole._replace(state=b'{"summary": {}, "document": []}'),
    ]


@pytest.mark.parametrize("checkpoint", damaged_checkpoints())
def test_damaged_checkpoint_raises(checkpoint: Checkpoint) -> None:
    with pytest.raises(CheckpointError, match="checkpoint at"):
        restore_configuration(checkpoint)


def test_checkpoint_that_differs_from_replay_is_reported() -> None:
    state = state_with_document()
    matching = configuration_checkpoint(state)
    state, outcomes = replay_configuration(state, 8, batch(3, matching))
    assert outcomes == ()
    differing = matching._replace(digest="0" * 24)
    _, outcomes = replay_configuration(state, 9, batch(4, differing))
    assert outcomes == (Diverged(matching.offset, matching.digest, differing.digest),)


def test_state_size_is_bounded() -> None:
    state = empty_configuration_state()
    for number in range(MAX_WRITERS + MAX_AUDIT_ENTRIES):
        writer = Incarnation(f"operator#{number}")
        stale = activation(state, 2)._replace(base_revision=7, author="x" * 9_999)
        state, _ = replay_configuration(state, number, batch(1, stale, writer=writer))
    assert len(state.sequences) == MAX_WRITERS
    assert len(state.audit) == MAX_AUDIT_ENTRIES
    assert len(configuration_checkpoint(state).state) < 200_000


def add_earlier_names(changed: dict[str, Any]) -> dict[str, Any]:
    """Add parts whose names sort before the existing ones."""
    budget = changed["budgets"]["kosice-lookups"]
    changed["budgets"]["a-budget"] = budget | {
        "services": ["booking"],
        "top_ups": [{"id": "a", "tokens": 1}],
    }
    endpoint = changed["endpoints"]["engine-1"]
    changed["endpoints"]["a-engine"] = endpoint | {"port": 9_002}
    return changed


def set_same_port(changed: dict[str, Any]) -> None:
    for endpoint in changed["endpoints"].values():
        endpoint["port"] = 1


def set_invalid_ports(changed: dict[str, Any]) -> None:
    for endpoint in changed["endpoints"].values():
        endpoint["port"] = "none"


def remove_all_budgets(changed: dict[str, Any]) -> None:
    del changed["budgets"]


@pytest.mark.parametrize("edit", [set_same_port, set_invalid_ports, remove_all_budgets])
def test_restored_node_rejects_with_the_same_reason(edit: Any) -> None:
    state = state_with_document()
    more = publication(state, add_earlier_names(document()))
    state, _ = replay_configuration(state, 8, batch(3, more))
    restored = restore_configuration(configuration_checkpoint(state))
    changed = add_earlier_names(document())
    edit(changed)
    record = batch(4, publication(state, changed))
    ours, original_outcomes = replay_configuration(state, 9, record)
    theirs, _ = replay_configuration(restored, 9, record)
    assert isinstance(original_outcomes[0], Rejected)
    assert ours.audit[-1] == theirs.audit[-1]
    assert configuration_digest(ours) == configuration_digest(theirs)
