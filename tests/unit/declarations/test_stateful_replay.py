"""Concurrent operators on a log that loses answers, compared with an oracle."""

from copy import deepcopy
from os import environ
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from clementinebend_declarations.documents import check_document
from clementinebend_declarations.replay import (
    configuration_checkpoint,
    configuration_digest,
    configuration_of,
    empty_configuration_state,
    replay_configuration,
    restore_configuration,
)
from clementinebend_declarations.state import (
    Activated,
    ConfigurationState,
    Conflict,
    Diverged,
    Published,
    Rejected,
    UnsupportedSchema,
    document_of,
)
from clementinebend_records.codec import decode_batch, encode_batch
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Batch, Record
from tests.unit.declarations.race_oracle import (
    EDITS,
    Entry,
    Pending,
    change_top_up,
    run_oracle,
)
from tests.unit.declarations.samples import activation, document, publication

FUZZ = environ.get("CLEMENTINEBEND_FUZZ") == "1"
READABLE_SCHEMAS = (2, 2, 2, 1, 1)
"""The newest schema that each reader can read; the operators come first."""

OPERATORS = 3
STEPS = 50

operators = st.integers(0, OPERATORS - 1)
readers = st.integers(0, len(READABLE_SCHEMAS) - 1)


class Race(RuleBasedStateMachine):
    """Operators publish on the state they have read; readers read in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.log: list[Entry] = []
        self.states: list[ConfigurationState] = [
            empty_configuration_state() for _ in READABLE_SCHEMAS
        ]
        self.restarts = [0] * OPERATORS
        self.sequences = [0] * OPERATORS
        self.pending: list[Pending | None] = [None] * OPERATORS
        self.digests: dict[int, str] = {}
        self.winners: dict[int, int] = {}
        self.last_number = 0

    def append(self, entry: Entry) -> None:
        decoded = decode_batch(encode_batch(entry.batch))
        assert isinstance(decoded, Batch)
        self.log.append(Entry(decoded, entry.valid))

    def post(self, operator: int, record: Record, valid: bool, arrives: bool) -> None:
        writer = Incarnation(f"operator-{operator}#{self.restarts[operator]}")
        self.sequences[operator] += 1
        batch = Batch(writer, self.sequences[operator], (record,))
        self.pending[operator] = Pending(batch, valid)
        if arrives:
            self.append(Entry(batch, valid))

    @rule(
        operator=operators,
        edit=st.sampled_from(EDITS),
        upgrade=st.booleans(),
        wrong_digest=st.integers(0, 9),
        arrives=st.booleans(),
    )
    def publish(
        self, operator: int, edit: Any, upgrade: bool, wrong_digest: int, arrives: bool
    ) -> None:
        """Publish an edit; the answer is lost, and perhaps the append too."""
        if self.pending[operator]:
            return
        state = self.states[operator]
        changed = deepcopy(document_of(state)) or document()
        activated = configuration_of(state).activated_schema
        self.last_number += 1
        valid = edit(changed, self.last_number)
        is_first = not document_of(state)
        if is_first and edit is change_top_up:
            valid = True
        if upgrade and changed.get("schema_version", 1) == 1:
            changed["schema_version"] = 2
            valid = valid and activated > 1
        record = publication(state, changed)
        if not wrong_digest:
            record, valid = record._replace(digest="0" * 24), False
        self.post(operator, record, valid, arrives)

    @rule(operator=operators, skip=st.integers(0, 3), arrives=st.booleans())
    def activate(self, operator: int, skip: int, arrives: bool) -> None:
        """Activate a schema, sometimes one that is not the next."""
        if self.pending[operator]:
            return
        state = self.states[operator]
        activated = configuration_of(state).activated_schema
        version = 2 if skip else activated + 2
        valid = version == activated + 1
        self.post(operator, activation(state, version), valid, arrives)

    @rule(operator=operators)
    def append_again(self, operator: int) -> None:
        """Append the same batch again after a lost answer."""
        pending = self.pending[operator]
        if pending:
            self.append(Entry(pending.batch, pending.valid))

    @rule(operator=operators)
    def restart(self, operator: int) -> None:
        """Restart an operator; its pending batch may already be on the log."""
        self.pending[operator] = None
        self.restarts[operator] += 1
        self.sequences[operator] = 0

    @rule(position=st.integers(0, 200))
    @precondition(lambda self: self.log)
    def duplicate(self, position: int) -> None:
        """Append an earlier entry of the log again."""
        self.log.append(self.log[position % len(self.log)])

    @rule(reader=readers, count=st.integers(1, 8))
    def read(self, reader: int, count: int) -> None:
        """Read further batches and check all outcomes."""
        for _ in range(count):
            self.read_one(reader)

    def read_one(self, reader: int) -> None:
        before = self.states[reader]
        offset = before.offset + 1
        if offset >= len(self.log):
            return
        batch = self.log[offset].batch
        after, outcomes = replay_configuration(
            before, offset, batch, READABLE_SCHEMAS[reader]
        )
        old, new = configuration_of(before), configuration_of(after)
        assert old.revision <= new.revision <= old.revision + 1
        for outcome in outcomes:
            self.check_outcome(outcome, after)
        if after.offset == offset:
            digest = configuration_digest(after)
            assert self.digests.setdefault(offset, digest) == digest
        else:
            assert after == before and READABLE_SCHEMAS[reader] < new.activated_schema
        self.states[reader] = after
        self.clear_confirmed_batch(reader)

    def check_outcome(self, outcome: Any, after: ConfigurationState) -> None:
        assert not isinstance(outcome, Diverged)
        if isinstance(outcome, Published | Activated):
            offset = self.winners.setdefault(outcome.revision, outcome.offset)
            assert offset == outcome.offset
        if isinstance(outcome, Published):
            checked = check_document(document_of(after))
            assert configuration_of(after).declarations == checked.ok
        if isinstance(outcome, UnsupportedSchema):
            assert outcome.version == configuration_of(after).activated_schema
        if isinstance(outcome, Conflict | Rejected):
            assert outcome.offset not in self.winners.values()

    def clear_confirmed_batch(self, reader: int) -> None:
        pending = self.pending[reader] if reader < OPERATORS else None
        if pending:
            last = self.states[reader].sequences.get(pending.batch.writer, 0)
            if last >= pending.batch.sequence:
                self.pending[reader] = None

    @rule(source=readers, reader=readers)
    def restore(self, source: int, reader: int) -> None:
        """Restore a checkpoint on another reader, which may be ahead of it."""
        checkpoint = configuration_checkpoint(self.states[source])
        before = self.states[reader]
        after = restore_configuration(checkpoint, before)
        assert after.offset == max(before.offset, checkpoint.offset)
        assert configuration_of(after).revision >= configuration_of(before).revision
        self.states[reader] = after
        self.clear_confirmed_batch(reader)

    @rule(source=readers, reader=readers)
    def start_cold(self, source: int, reader: int) -> None:
        """Replace a reader by one that has only the checkpoint."""
        if source == reader or self.states[source].offset < self.states[reader].offset:
            return
        checkpoint = configuration_checkpoint(self.states[source])
        self.states[reader] = restore_configuration(checkpoint)

    @rule(reader=readers)
    def append_checkpoint(self, reader: int) -> None:
        """Append a checkpoint, which every reader compares with its own state."""
        checkpoint = configuration_checkpoint(self.states[reader])
        self.last_number += 1
        writer = Incarnation(f"node-{reader}#{self.last_number}")
        self.append(Entry(Batch(writer, 1, (checkpoint,)), False))

    @invariant()
    def winners_match_the_oracle(self) -> None:
        """Compare the accepted offsets seen so far with those of the oracle."""
        expected = run_oracle(self.log).winners
        assert self.winners.items() <= expected.items()

    def teardown(self) -> None:
        """Let all readers read to the end and compare them with the oracle."""
        for reader in range(len(READABLE_SCHEMAS)):
            for _ in self.log:
                self.read_one(reader)
        expected = run_oracle(self.log)
        for state, max_readable_schema in zip(
            self.states, READABLE_SCHEMAS, strict=True
        ):
            configuration = configuration_of(state)
            if max_readable_schema < expected.activated:
                assert configuration.activated_schema > max_readable_schema
                continue
            assert configuration.revision == expected.revision
            assert configuration.activated_schema == expected.activated
            assert state.offset == len(self.log) - 1


TestRace = Race.TestCase
TestRace.settings = settings(
    max_examples=1_500 if FUZZ else 80,
    stateful_step_count=STEPS,
    derandomize=not FUZZ,
    deadline=None,
)
