"""Edits: applying the diff of two documents to one gives the other."""

from functools import reduce
from os import environ

from hypothesis import given, settings
from hypothesis import strategies as st

from clementinebend_declarations.documents import (
    apply_changes,
    diff_documents,
    document_digest,
)
from clementinebend_records.records import Change

FUZZ = environ.get("CLEMENTINEBEND_FUZZ") == "1"
keys = st.sampled_from("abc")
leaves = st.sampled_from([None, False, True, 0, 1, 1.0, "", "1", [], [1], [True]])
values = st.recursive(leaves, lambda inner: st.dictionaries(keys, inner), max_leaves=8)
documents = st.dictionaries(keys, values)
paths = st.lists(keys, max_size=3).map(tuple)
changes = st.lists(
    st.builds(Change, path=paths, value=values, remove=st.booleans()), max_size=8
).map(tuple)

example_settings = settings(
    max_examples=20_000 if FUZZ else 400, derandomize=not FUZZ, deadline=None
)


@example_settings
@given(documents, documents)
def test_applying_a_diff_gives_the_other_document(
    old: dict[str, object], new: dict[str, object]
) -> None:
    before = document_digest(old)
    edits = diff_documents(old, new)
    assert document_digest(apply_changes(old, edits)) == document_digest(new)
    assert document_digest(old) == before
    assert bool(edits) is (before != document_digest(new))


@example_settings
@given(documents, changes)
def test_applying_edits_together_equals_applying_them_one_by_one(
    document: dict[str, object], edits: tuple[Change, ...]
) -> None:
    one_by_one = reduce(
        lambda changed, edit: apply_changes(changed, (edit,)), edits, document
    )
    assert document_digest(apply_changes(document, edits)) == document_digest(
        one_by_one
    )
