"""Documents: all errors are reported, each with key path and allowed values."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from clementinebend_declarations.documents import (
    add_file_names,
    apply_changes,
    check_document,
    diff_documents,
    document_digest,
    load_document,
    load_files,
)
from clementinebend_declarations.models import (
    EndpointState,
    ReceiptSafety,
    ServiceKind,
)
from clementinebend_records.records import Change
from tests.unit.declarations.samples import document

Edit = Callable[[dict[str, Any]], object]

KEY = "0" * 64
SHARED = "services.shared"

INVALID_EDITS: dict[str, tuple[Edit, str]] = {
    "unknown key": (
        lambda doc: doc["teams"]["presov"].update(wieght=1),
        "teams.presov.wieght is an unknown key",
    ),
    "later schema's key": (
        lambda doc: doc["endpoints"]["engine-1"].update(state="leaving"),
        "endpoints.engine-1.state is an unknown key",
    ),
    "wrong type": (
        lambda doc: doc["endpoints"]["engine-1"].update(port="http"),
        "endpoints.engine-1.port is 'http'; allowed: a whole number",
    ),
    "missing key": (
        lambda doc: doc["endpoints"]["engine-1"].pop("zone"),
        "endpoints.engine-1.zone is missing",
    ),
    "unknown team": (
        lambda doc: doc["budgets"]["kosice-lookups"].update(team="kosic"),
        "budgets.kosice-lookups.team is 'kosic'; allowed: the name of a declared team",
    ),
    "budget of an unknown service": (
        lambda doc: doc["budgets"]["kosice-lookups"].update(services=["desk"]),
        "budgets.kosice-lookups.services.0 is 'desk'",
    ),
    "two budgets for one service": (
        lambda doc: doc["budgets"].update(
            more={"team": "kosice", "services": ["shared"]}
        ),
        "budgets.more.services.0 repeats budgets.kosice-lookups.services.0",
    ),
    "negative top-up": (
        lambda doc: doc["budgets"]["kosice-lookups"]["top_ups"][0].update(tokens=-5),
        "budgets.kosice-lookups.top_ups.0.tokens is -5; allowed: a number from 1",
    ),
    "top-up id for another amount": (
        lambda doc: doc["budgets"]["kosice-lookups"]["top_ups"].append(
            {"id": "q4", "tokens": 7}
        ),
        "budgets.kosice-lookups.top_ups.1.id repeats",
    ),
    "key instead of its digest": (
        lambda doc: doc["teams"]["kosice"].update(key_digests=["demo-key-kosice"]),
        "teams.kosice.key_digests.0 is 'demo-key-kosice'; allowed: the SHA-256",
    ),
    "one key for two teams": (
        lambda doc: [team.update(key_digests=[KEY]) for team in doc["teams"].values()],
        "teams.presov.key_digests.0 repeats teams.kosice.key_digests.0",
    ),
    "zero weight": (
        lambda doc: doc["teams"]["presov"].update(weight=0),
        "teams.presov.weight is 0",
    ),
    "endpoint of an unknown service": (
        lambda doc: doc["endpoints"]["engine-1"].update(service="desk"),
        "endpoints.engine-1.service is 'desk'",
    ),
    "host name": (
        lambda doc: doc["endpoints"]["engine-1"].update(host="localhost"),
        "endpoints.engine-1.host is 'localhost'; allowed: an IP number",
    ),
    "port out of range": (
        lambda doc: doc["endpoints"]["engine-1"].update(port=70_000),
        "endpoints.engine-1.port is 70000; allowed: a number from 1 to 65535",
    ),
    "two endpoints on one address": (
        lambda doc: doc["endpoints"].update({"engine-2": doc["endpoints"]["engine-1"]}),
        "endpoints.engine-2 repeats endpoints.engine-1",
    ),
    "model that the service lacks": (
        lambda doc: doc["endpoints"]["engine-1"].update(models=["chat-1b"]),
        "endpoints.engine-1.models.0 is 'chat-1b'",
    ),
    "rule to an unknown service": (
        lambda doc: doc["routing_rules"][0].update(service="desk"),
        "routing_rules.0.service is 'desk'",
    ),
    "rule for a model of another service": (
        lambda doc: doc["routing_rules"][0].update(model="chat-1b"),
        "routing_rules.0.model is 'chat-1b'",
    ),
    "rule for an unknown team": (
        lambda doc: doc["routing_rules"][0].update(team="levoca"),
        "routing_rules.0.team is 'levoca'",
    ),
    "rule that never applies": (
        lambda doc: doc["routing_rules"].append(doc["routing_rules"][0]),
        "routing_rules.1 repeats routing_rules.0",
    ),
    "reserved path": (
        lambda doc: doc["services"]["booking"].update(path="/v1/booking"),
        "services.booking.path is '/v1/booking'",
    ),
    "model service with a path": (
        lambda doc: doc["services"]["shared"].update(path="/shared"),
        f"{SHARED}.path is '/shared'",
    ),
    "model service without models": (
        lambda doc: (
            doc["services"]["shared"].update(models=[]),
            doc["routing_rules"].clear(),
        ),
        f"{SHARED}.models is empty",
    ),
    "deadline above the maximum": (
        lambda doc: doc["limits"].update(default_deadline_ms=700_000),
        "limits.default_deadline_ms is 700000; allowed: a number from 1 to 600000",
    ),
    "name with a slash": (
        lambda doc: doc["teams"].update({"a/b": {"key_digests": []}}),
        "teams.a/b is 'a/b'; allowed: 1 to 63 letters",
    ),
    "not a number": (
        lambda doc: doc["teams"]["presov"].update(weight=float("nan")),
        "contains a value that some codecs cannot represent",
    ),
    "newer schema": (
        lambda doc: doc.update(schema_version=3),
        "schema_version is 3; allowed: a whole number from 1 to 2",
    ),
}


def error_text(value: dict[str, Any]) -> str:
    result = check_document(value)
    assert result.is_error()
    return "\n".join(str(error) for error in result.error)


@pytest.mark.parametrize("name", INVALID_EDITS)
def test_error_has_the_key_path_and_the_allowed_values(name: str) -> None:
    edit, expected = INVALID_EDITS[name]
    assert check_document(document()).is_ok()
    invalid = document()
    edit(invalid)
    reported = error_text(invalid).splitlines()
    assert len(reported) == 1 and expected in reported[0]


def test_all_errors_are_reported_together() -> None:
    invalid = document()
    del invalid["endpoints"]["engine-1"]["zone"]
    invalid["teams"]["presov"]["weight"] = "heavy"
    assert len(error_text(invalid).splitlines()) == 2
    invalid = document()
    invalid["budgets"]["kosice-lookups"] |= {"team": "x", "services": ["y"]}
    invalid["endpoints"]["engine-1"] |= {"host": "z", "port": 0}
    assert len(error_text(invalid).splitlines()) == 4


def test_schema_v1_is_upgraded_to_v2() -> None:
    first = document()
    first["endpoints"]["engine-1"]["leaving"] = True
    second = document(2)
    second["endpoints"]["engine-1"]["state"] = "leaving"
    second["teams"]["kosice"]["receipt_safety"] = "two_hosts"
    assert check_document(first).ok == check_document(second).ok
    declarations = check_document(document(2)).ok
    assert declarations.endpoints["engine-1"].state is EndpointState.SERVING
    assert declarations.teams["kosice"].receipt_safety is ReceiptSafety.TWO_ZONES
    assert declarations.services["booking"].kind is ServiceKind.PLAIN
    assert "leaving is an unknown key" in error_text(first | {"schema_version": 2})


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"teams:\n  caf\xe9: {}\n", "is not UTF-8 at byte 12"),
        (b"teams: [\n", "is not YAML"),
        (b"teams:\n  a: {}\n  a: {}\n", "duplicate key 'a'"),
        (b"teams:\n  7: {}\n", "the key 7 is not a string"),
        (b"teams: &all {}\nbudgets: *all\n", "aliases are not allowed"),
        (b"- teams\n", "does not contain a mapping"),
        (b"a: " + b"[" * 5_000, "is not YAML"),
        (b"a: !!python/object:os.system {}\n", "is not YAML"),
    ],
)
def test_invalid_file_is_returned_as_an_error(
    tmp_path: Path, data: bytes, expected: str
) -> None:
    file = tmp_path / "teams.yaml"
    file.write_bytes(data)
    result = load_document(file)
    assert result.is_error()
    assert result.error.file == str(file) and expected in str(result.error)


def test_missing_and_empty_paths_are_errors(tmp_path: Path) -> None:
    assert "cannot be read" in str(load_document(tmp_path / "no.yaml").error)
    assert "has no *.yaml file" in str(load_document(tmp_path).error)


def test_directory_is_merged_and_duplicate_names_are_reported(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").write_text("teams: {a: {}}\nrouting_rules: [1]\nx: 1\n")
    (tmp_path / "b.yaml").write_text("teams: {b: {}}\nrouting_rules: [2]\nx: 1\n")
    merged = load_document(tmp_path).ok
    assert merged == {"teams": {"a": {}, "b": {}}, "routing_rules": [1, 2], "x": 1}
    (tmp_path / "c.yaml").write_text("teams: {a: {}}\nx: 2\nrouting_rules: {}\n")
    errors = load_files(tmp_path).error
    assert [(error.path, error.file[-6:]) for error in errors] == [
        (("teams", "a"), "c.yaml"),
        (("x",), "c.yaml"),
        (("routing_rules",), "c.yaml"),
    ]


def test_errors_name_the_file_of_the_invalid_part(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").write_text("teams: {a: {}}\n")
    (tmp_path / "b.yaml").write_text("teams: {b: {key_digests: 1}}\n")
    loaded = load_files(tmp_path).ok
    errors = add_file_names(check_document(loaded.document).error, loaded.files)
    assert [error.file[-6:] for error in errors] == ["a.yaml", "b.yaml"]


def test_dates_are_loaded_as_strings(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").write_text("when: 2026-11-01\n")
    assert load_document(tmp_path).ok == {"when": "2026-11-01"}


def test_diff_distinguishes_types_and_keeps_the_old_document() -> None:
    old = {"a": {"b": 1, "c": [1]}, "d": {"e": {}}}
    new = {"a": {"b": True, "c": [1.0]}, "f": {}}
    before = document_digest(old)
    changes = diff_documents(old, new)
    assert [change.path for change in changes] == [
        ("a", "b"),
        ("a", "c"),
        ("d",),
        ("f",),
    ]
    assert document_digest(apply_changes(old, changes)) == document_digest(new)
    assert document_digest(old) == before != document_digest(new)


@pytest.mark.parametrize(
    "change",
    [
        Change((), {"a": 1}),
        Change(("a", "b"), None, remove=True),
        Change(("n", "b"), None, remove=True),
        Change(("n",), None, remove=True),
    ],
)
def test_edits_without_a_target_have_no_effect(change: Change) -> None:
    assert apply_changes({"a": 1}, (change,)) == {"a": 1}
