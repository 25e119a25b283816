"""Replay of the configuration: one winner, and no way back."""

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

OTHER = Incarnation("operator#2")


def published(version: int = 1) -> ConfigurationState:
    """Return the state in which the sample document is in force."""
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
    state, outcomes = replay_configuration(state, 5, batch(1, second, writer=OTHER))
    assert outcomes == (Conflict(0, 1, 5, "milan"),)
    assert document_of(state) == document()
    results = [(entry.author, entry.result, entry.revision) for entry in state.audit]
    assert results == [
        (AUTHOR, AuditResult.PUBLISHED, 1),
        ("milan", AuditResult.CONFLICT, 1),
    ]


def test_repeats_of_a_batch_and_of_an_offset_do_nothing() -> None:
    state = published()
    repeated = publication(state, {})
    again, outcomes = replay_configuration(state, state.offset + 1, batch(2, repeated))
    assert outcomes == () and configuration_of(again) == configuration_of(state)
    assert again.audit == state.audit
    same, outcomes = replay_configuration(state, state.offset, batch(9, repeated))
    assert outcomes == () and same == state


def wrong_team(changed: dict[str, Any]) -> None:
    changed["budgets"]["kosice-lookups"]["team"] = "nobody"


def top_up_changed(changed: dict[str, Any]) -> None:
    changed["budgets"]["kosice-lookups"]["top_ups"][0]["tokens"] = 6_000


def top_up_gone(changed: dict[str, Any]) -> None:
    changed["budgets"]["kosice-lookups"]["top_ups"] = []


def budget_gone(changed: dict[str, Any]) -> None:
    del changed["budgets"]["kosice-lookups"]


def other_schema(changed: dict[str, Any]) -> None:
    changed["schema_version"] = 2


@pytest.mark.parametrize(
    ("edit", "fields", "reason"),
    [
        (wrong_team, {}, "budgets.kosice-lookups.team is 'nobody'"),
        (top_up_changed, {}, "the top-up 'q4' of the budget 'kosice-lookups'"),
        (top_up_gone, {}, "it may neither change nor go"),
        (budget_gone, {}, "it may neither change nor go"),
        (None, {"digest": "0" * 24}, "does not give the digest"),
        (other_schema, {}, "schema 2 is not activated"),
        (other_schema, {"schema_version": 1}, "document is of schema 2"),
        (None, {"schema_version": 0}, "schema 0 is not activated"),
        (None, {"changes": (Change(("teams",), b"\xff"),)}, "not every node"),
        (None, {"changes": (Change(("a",) * 9_999, 1),)}, "not every node"),
        (None, {"changes": (Change(("\ud800",), 1),)}, "not every node"),
    ],
)
def test_bad_publication_is_rejected_and_changes_nothing(
    edit: Any, fields: dict[str, Any], reason: str
) -> None:
    state = published()
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
def test_activation_goes_up_one_schema_at_a_time(version: int) -> None:
    state = published()
    record = activation(state, version)
    after, outcomes = replay_configuration(state, 9, batch(3, record))
    assert isinstance(outcomes[0], Rejected)
    assert configuration_of(after) == configuration_of(state)


def test_activation_races_with_publications_on_the_same_base() -> None:
    state = published()
    late = publication(state, document() | {"limits": {}})
    state, outcomes = replay_configuration(state, 9, batch(3, activation(state, 2)))
    assert outcomes == (Activated(2, 2, 9, AUTHOR),)
    state, outcomes = replay_configuration(state, 10, batch(4, late))
    assert outcomes == (Conflict(1, 2, 10, AUTHOR),)
    record = publication(state, document(2))
    state, outcomes = replay_configuration(state, 11, batch(5, record))
    assert outcomes == (Published(3, 11, AUTHOR),)


def test_reader_of_the_first_schema_is_told_to_leave_and_stands_still() -> None:
    before = published()
    record = batch(3, activation(before, 2))
    stopped, outcomes = replay_configuration(before, 9, record, max_readable_schema=1)
    assert outcomes[-1] == UnsupportedSchema(2)
    going_on, _ = replay_configuration(before, 9, record)
    assert configuration_digest(stopped) == configuration_digest(going_on)
    later = batch(4, publication(stopped, document(2)))
    after, outcomes = replay_configuration(stopped, 10, later, max_readable_schema=1)
    assert after == stopped and outcomes == (UnsupportedSchema(2),)


def test_activation_ends_its_batch_for_readers_of_every_schema() -> None:
    before = published()
    record = activation(before, 2)
    advanced, _ = replay_configuration(before, 9, batch(3, record))
    both = batch(3, record, publication(advanced, document(2)))
    new, outcomes = replay_configuration(before, 9, both)
    old, _ = replay_configuration(before, 9, both, max_readable_schema=1)
    assert isinstance(outcomes[1], Rejected)
    assert configuration_digest(new) == configuration_digest(old)


def test_checkpoint_restores_the_whole_state() -> None:
    state = published(2)
    restored = restore_configuration(configuration_checkpoint(state))
    assert restored == state._replace(digests={})
    more = batch(3, publication(state, document(2) | {"limits": {}}))
    ours, _ = replay_configuration(state, 9, more)
    theirs, _ = replay_configuration(restored, 9, more)
    assert configuration_digest(ours) == configuration_digest(theirs)


def test_older_checkpoint_never_lowers_a_state() -> None:
    older = published()
    record = publication(older, document() | {"limits": {}})
    newer, _ = replay_configuration(older, 9, batch(3, record))
    checkpoint = configuration_checkpoint(older)
    assert restore_configuration(checkpoint, newer) is newer
    forward = restore_configuration(configuration_checkpoint(newer), older)
    assert configuration_of(forward) == configuration_of(newer)


def damaged_checkpoints() -> list[Checkpoint]:
    whole = configuration_checkpoint(published())
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
def test_damaged_checkpoint_is_not_used(checkpoint: Checkpoint) -> None:
    with pytest.raises(CheckpointError, match="checkpoint at"):
        restore_configuration(checkpoint)


def test_checkpoint_that_differs_from_replay_is_told() -> None:
    state = published()
    true = configuration_checkpoint(state)
    state, outcomes = replay_configuration(state, 8, batch(3, true))
    assert outcomes == ()
    false = true._replace(digest="0" * 24)
    _, outcomes = replay_configuration(state, 9, batch(4, false))
    assert outcomes == (Diverged(true.offset, true.digest, false.digest),)


def test_state_stays_bounded() -> None:
    state = empty_configuration_state()
    for number in range(MAX_WRITERS + MAX_AUDIT_ENTRIES):
        writer = Incarnation(f"operator#{number}")
        stale = activation(state, 2)._replace(base_revision=7, author="x" * 9_999)
        state, _ = replay_configuration(state, number, batch(1, stale, writer=writer))
    assert len(state.sequences) == MAX_WRITERS
    assert len(state.audit) == MAX_AUDIT_ENTRIES
    assert len(configuration_checkpoint(state).state) < 200_000


def with_earlier_names(changed: dict[str, Any]) -> dict[str, Any]:
    """Add parts whose names stand before those that are there already."""
    budget = changed["budgets"]["kosice-lookups"]
    changed["budgets"]["a-budget"] = budget | {
        "services": ["booking"],
        "top_ups": [{"id": "a", "tokens": 1}],
    }
    endpoint = changed["endpoints"]["engine-1"]
    changed["endpoints"]["a-engine"] = endpoint | {"port": 9_002}
    return changed


def one_address(changed: dict[str, Any]) -> None:
    for endpoint in changed["endpoints"].values():
        endpoint["port"] = 1


def wrong_shapes(changed: dict[str, Any]) -> None:
    for endpoint in changed["endpoints"].values():
        endpoint["port"] = "none"


def all_budgets_gone(changed: dict[str, Any]) -> None:
    del changed["budgets"]


@pytest.mark.parametrize("edit", [one_address, wrong_shapes, all_budgets_gone])
def test_restored_reader_tells_faults_in_the_same_words(edit: Any) -> None:
    state = published()
    more = publication(state, with_earlier_names(document()))
    state, _ = replay_configuration(state, 8, batch(3, more))
    restored = restore_configuration(configuration_checkpoint(state))
    changed = with_earlier_names(document())
    edit(changed)
    record = batch(4, publication(state, changed))
    ours, told = replay_configuration(state, 9, record)
    theirs, _ = replay_configuration(restored, 9, record)
    assert isinstance(told[0], Rejected)
    assert ours.audit[-1] == theirs.audit[-1]
    assert configuration_digest(ours) == configuration_digest(theirs)
