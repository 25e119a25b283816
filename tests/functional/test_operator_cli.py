"""The command line as processes, against a log service with faults."""

from collections.abc import Iterator
from json import loads
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.lib.http_calls import calling
from tests.lib.processes import Processes, RunningProcess, running_processes

PROGRAM = "clementinebend"


class Ended(NamedTuple):
    """What a command left behind."""

    code: int
    out: str
    err: str


class Desk(NamedTuple):
    """A starter directory whose settings name a running log."""

    processes: Processes
    log: RunningProcess
    directory: Path

    @property
    def settings(self) -> Path:
        """Return the path of the settings."""
        return self.directory / "clementinebend.yaml"

    @property
    def declarations(self) -> Path:
        """Return the path of the declarations."""
        return self.directory / "declarations"

    def start(self, *words: str | Path) -> RunningProcess:
        """Start a command."""
        args = [PROGRAM, *words, f"--settings={self.settings}"]
        return self.processes.spawn(args, str(words[0]))

    async def end(self, process: RunningProcess) -> Ended:
        """Wait for a command; it must never show a traceback."""
        code = await self.processes.exit_code(process)
        ended = Ended(code, process.output_path.read_text(), process.log_text())
        assert "Traceback" not in ended.err, ended.err
        return ended

    async def run(self, *words: str | Path) -> Ended:
        """Run a command to its end."""
        return await self.end(self.start(*words))

    async def publish(self, *words: str | Path) -> Ended:
        """Publish the declarations."""
        return await self.run("publish", self.declarations, *words)


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    with running_processes(tmp_path) as started:
        yield started


async def new_desk(processes: Processes, timeout: float = 30.0) -> Desk:
    log = await processes.start_process(["clementinebend-standin-log", "--port", "0"])
    desk = Desk(processes, log, processes.directory / "fleet")
    started = processes.spawn([PROGRAM, "init", desk.directory], "init")
    assert await processes.exit_code(started) == 0
    text = desk.settings.read_text().replace("http://127.0.0.1:7001", log.url)
    desk.settings.write_text(
        text.replace("log_timeout_s: 10", f"log_timeout_s: {timeout}")
    )
    return desk


def add_team(desk: Desk, name: str) -> None:
    path = desk.declarations / f"team-{name}.yaml"
    path.write_text(f"teams: {{{name}: {{key_digests: []}}}}\n")


async def test_from_starter_to_a_drained_endpoint(processes: Processes) -> None:
    desk = await new_desk(processes)
    refused = await desk.publish()
    assert refused.code == 2 and "clementinebend activate 2" in refused.err
    assert (await desk.run("activate", "2")).code == 0
    published = await desk.publish("--json")
    assert published.code == 0 and loads(published.out)["revision"] == 2
    drained = await desk.run("drain", "engine-1")
    assert drained.code == 0 and "revision 3" in drained.out
    shown = await desk.run("show", "--json")
    endpoints = loads(shown.out)["document"]["endpoints"]
    assert endpoints["engine-1"]["state"] == "leaving"
    stale = await desk.publish("--base", "2")
    assert stale.code == 3 and "endpoints.engine-1.state" in stale.err
    budgets = await desk.run("budget", "show", "--json")
    assert [row["available"] for row in loads(budgets.out)] == [1_000_000]
    audit = loads((await desk.run("audit", "--json", "--ledger")).out)
    results = [row["result"] for row in audit["configuration"]]
    assert results == ["activated", "published", "published"]


async def test_racing_operators_have_one_winner(processes: Processes) -> None:
    desk = await new_desk(processes)
    assert (await desk.run("activate", "2")).code == 0
    names = [f"racer-{number}" for number in range(4)]
    for name in names:
        directory = desk.directory / name
        directory.mkdir()
        (directory / "all.yaml").write_text(
            f"schema_version: 2\nteams: {{{name}: {{key_digests: []}}}}\n"
        )
    racing = [
        desk.start("publish", desk.directory / name, "--base=1", f"--author={name}")
        for name in names
    ]
    ended = [await desk.end(process) for process in racing]
    assert sorted(one.code for one in ended) == [0, 3, 3, 3]
    winner = names[[one.code for one in ended].index(0)]
    shown = loads((await desk.run("show", "--json")).out)
    assert shown["revision"] == 2 and list(shown["document"]["teams"]) == [winner]
    losers = [one for one in ended if one.code == 3]
    assert all(f"{winner}: schema_version, teams.{winner}" in one.err for one in losers)


async def test_lost_answers_and_outages_of_the_log(processes: Processes) -> None:
    desk = await new_desk(processes, timeout=2.0)
    assert (await desk.run("activate", "2")).code == 0
    async with calling(desk.log.url) as log:
        await log.set_faults(lose_answers=2)
        assert (await desk.publish()).code == 0
        add_team(desk, "late")
        await log.set_faults(outage=True)
        silent = await desk.publish()
        assert silent.code == 4 and "could not be read" in silent.err
        await log.set_faults(outage=False)
    assert (await desk.publish()).code == 0
    audit = loads((await desk.run("audit", "--json")).out)["configuration"]
    assert [row["revision"] for row in audit] == [1, 2, 3]
    budgets = await desk.run("budget", "show", "--json")
    assert [row["topped_up"] for row in loads(budgets.out)] == [1_000_000]
    processes.kill(desk.log)
    assert (await desk.run("show")).code == 4


async def test_wrong_files_are_told_with_their_place(processes: Processes) -> None:
    desk = await new_desk(processes)
    (desk.declarations / "teams.yaml").write_text(
        "schema_version: 2\n"
        "teams: {desk: {key_digests: [demo-key-desk]}}\n"
        "budgets: {b: {team: disk, services: [], top_ups: [{id: x, tokens: -1}]}}\n"
    )
    wrong = await desk.run("publish", desk.declarations)
    assert wrong.code == 2
    assert len(wrong.err.splitlines()) == 4
    assert all("declarations/teams.yaml: " in line for line in wrong.err.splitlines())
    (desk.declarations / "teams.yaml").write_bytes(b"teams: \xc3\x28\n")
    unreadable = await desk.publish()
    assert unreadable.code == 2 and "is not UTF-8 at byte 7" in unreadable.err
    assert loads((await desk.run("show", "--json")).out)["revision"] == 0
