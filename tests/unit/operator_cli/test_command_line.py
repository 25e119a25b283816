"""The command line: nothing runs before all of it is understood."""

from io import StringIO
from json import loads
from pathlib import Path
from typing import NamedTuple

import pytest

from clementinebend_declarations.documents import check_document, load_document
from clementinebend_operator_cli.cli.main import Streams, run_words
from clementinebend_operator_cli.cli.parser import COMMANDS, parse
from clementinebend_operator_cli.commands.status import ask_entries
from clementinebend_operator_cli.models.exit_codes import ExitCode
from clementinebend_operator_cli.models.report import Report
from clementinebend_operator_cli.utils.operators import SETTINGS_VARIABLE
from clementinebend_records.streams import CONFIGURATION_STREAM
from clementinebend_transport.http_server import Request, Response
from tests.lib.fake_log import FakeLog
from tests.lib.http_calls import serving
from tests.unit.declarations.samples import document, publication
from tests.unit.operator_cli.desk import (
    IMPATIENT,
    configuration,
    operator_on,
    put,
    write_settings,
)

EXAMPLES = Path(__file__).parents[3] / "examples"


class Printed(NamedTuple):
    """What a command line ended with and printed."""

    code: ExitCode
    out: str
    err: str


def printed(*words: str) -> Printed:
    """Run a command line."""
    out, err = StringIO(), StringIO()
    code = run_words(list(words), Streams(out, err))
    return Printed(code, out.getvalue(), err.getvalue())


LINES = [
    ["check", "declarations", "left-over"],
    ["check", "declarations", "0"],
    ["publish", "--bsae", "3"],
    ["drain"],
    ["budget", "resolve", "subject"],
    ["no-such-command"],
]


@pytest.mark.parametrize("words", LINES)
def test_line_that_is_not_understood_runs_nothing(
    words: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as ended:
        printed(*words)
    assert ended.value.code == ExitCode.INVALID_INPUT
    shown = capsys.readouterr()
    assert "ERROR" in shown.err and not shown.out


@pytest.mark.parametrize(
    ("words", "expected"),
    [
        ([], "no command given"),
        (["budget"], "no command given"),
        (["publish", "--author"], "--author needs a value"),
        (["publish", "--author", "--base", "1"], "--author needs a value"),
        (["show", "--settings", "\udcff"], "is not UTF-8"),
        (["activate", "two"], "VERSION is 'two'; allowed: a whole number from 1"),
        (["activate", "9" * 5_000], "VERSION is"),
        (["audit", "--limit", "-1"], "--limit is '-1'"),
        (["budget", "resolve", "s", "--charge", "-5", "--budget", "b"], "--charge is"),
        (["check", "/no/such/file"], "cannot be read"),
        (["show", "--settings", "/no/such/file"], "`clementinebend init` writes"),
    ],
)
def test_wrong_input_is_told_in_words(words: list[str], expected: str) -> None:
    ended = printed(*words)
    assert ended.code is ExitCode.INVALID_INPUT
    assert expected in ended.err


@pytest.mark.parametrize("name", [*COMMANDS, "budget show", "budget resolve"])
def test_every_command_has_help(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        printed(*name.split(), "--help")
    assert ended.value.code == ExitCode.OK
    shown = capsys.readouterr()
    assert f"clementinebend {name}" in shown.out + shown.err


def test_values_stay_texts() -> None:
    parsed = parse(["drain", "1e5", "--author=007", "--undo", "--json"])
    assert parsed is not None and parsed.ok.as_json
    ready = parsed.ok.run
    assert getattr(ready, "args", None) == ("1e5",)
    assert getattr(ready, "keywords", None) == {"author": "007", "undo": "True"}


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("log_url: 7\nshards: 1\n", ["log_url is 7", "shards is an unknown key"]),
        ("log_url: ftp://x\n", ["log_url is 'ftp://x'"]),
        ("log_url: 'http://['\nledger_shards: 0\n", ["log_url", "ledger_shards is 0"]),
        (
            "log_url: http://127.0.0.1:1\nlog_timeout_s: .inf\n",
            ["log_timeout_s is inf"],
        ),
        ("entries: [a]\nlog_url: http://127.0.0.1:1\n", ["entries.0 is 'a'"]),
    ],
)
def test_wrong_settings_are_told_with_their_key(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    text: str,
    expected: list[str],
) -> None:
    path = write_settings(tmp_path / "settings.yaml", text)
    monkeypatch.setenv(SETTINGS_VARIABLE, path)
    ended = printed("show")
    assert ended.code is ExitCode.INVALID_INPUT
    assert path in ended.err and all(part in ended.err for part in expected)


def test_errors_are_json_as_well_when_asked(tmp_path: Path) -> None:
    file = tmp_path / "teams.yaml"
    file.write_bytes(b"teams: \xff")
    error = loads(printed("check", str(file), "--json").out)["error"]
    assert error["code"] == 2 and "is not UTF-8 at byte 7" in error["message"]


def test_starter_is_right_and_never_overwrites(tmp_path: Path) -> None:
    target = tmp_path / "fleet"
    assert printed("init", str(target)).code is ExitCode.OK
    assert printed("check", str(target / "declarations")).code is ExitCode.OK
    settings = target / "clementinebend.yaml"
    settings.write_text("mine")
    assert printed("init", str(target)).code is ExitCode.INVALID_INPUT
    assert settings.read_text() == "mine"
    assert printed("init", str(settings)).code is ExitCode.FAILURE


@pytest.mark.parametrize(
    ("example", "zones", "counts"),
    [
        ("zlate-cisla", 4, {"shared": 9, "desk": 4}),
        ("coastal-parks", 3, {"shared": 9, "booking": 3}),
    ],
)
def test_examples_declare_the_deployments(
    example: str, zones: int, counts: dict[str, int]
) -> None:
    document = load_document(EXAMPLES / example / "declarations").ok
    declarations = check_document(document).ok
    endpoints = declarations.endpoints.values()
    services = [endpoint.service for endpoint in endpoints]
    assert {name: services.count(name) for name in set(services)} == counts
    assert len({endpoint.zone for endpoint in endpoints}) == zones
    assert len(declarations.teams) == 10
    paid = {budget.team for budget in declarations.budgets.values()}
    assert paid == set(declarations.teams)


async def entry_answers(request: Request) -> Response:
    pages = {
        "/readyz": (200, b"ready"),
        "/metrics": (200, b"clementinebend_entry_revision 1.0\n"),
        "/late/readyz": (200, b"ready"),
        "/late/metrics": (200, b"clementinebend_entry_revision 0.0\n"),
        "/silly/readyz": (503, b"no log"),
        "/silly/metrics": (200, b"\xff no metrics {{{"),
    }
    status, body = pages[request.target]
    return Response(status, (), body)


async def test_status_tells_entries_that_are_late_not_ready_or_gone() -> None:
    log = FakeLog()
    put(log, CONFIGURATION_STREAM, publication(configuration(log), document()))
    async with serving(entry_answers) as entry, operator_on(log) as operator:

        async def ask(*urls: str) -> Report:
            settings = operator.settings._replace(entries=urls)
            return (await ask_entries(operator._replace(settings=settings))).ok

        late_url, silly_url = f"{entry.url}/late", f"{entry.url}/silly"
        fine = await ask(entry.url)
        late = await ask(late_url)
        all_kinds = await ask(entry.url, late_url, silly_url, "http://127.0.0.1:1")
    entries = all_kinds.data["entries"]
    seen = [(status["ready"], status["revision"]) for status in entries]
    assert seen == [(True, 1), (True, 0), (False, None), (False, None)]
    assert entries[2]["message"] == "no log"
    assert entries[0]["age_s"] is not None and entries[1]["age_s"] is None
    assert all_kinds.code is late.code is ExitCode.FAILURE
    assert fine.code is ExitCode.OK


async def test_status_without_a_log_still_asks_the_entries() -> None:
    log = FakeLog()
    await log.set(outage=True)
    async with (
        serving(entry_answers) as entry,
        operator_on(log, patience=IMPATIENT) as operator,
    ):
        settings = operator.settings._replace(entries=(entry.url,))
        report = (await ask_entries(operator._replace(settings=settings))).ok
    assert report.code is ExitCode.FAILURE
    assert "could not be read" in report.lines[0]
    assert report.data["entries"][0]["revision"] == 1
