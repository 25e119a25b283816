"""Stand-ins as real processes: start, pause, death and planned stop."""

from asyncio import create_task
from pathlib import Path

import pytest

from tests.lib.http_calls import calling
from tests.lib.processes import ProcessError, free_port, running_processes

COMMANDS = {
    "log": (),
    "hosts": (),
    "service": (),
    "weights": (),
    "engine": ("--model", "m"),
}


@pytest.mark.parametrize("name", COMMANDS)
async def test_each_command_serves_on_a_port_and_ends_on_sigterm(
    name: str, tmp_path: Path
) -> None:
    with running_processes(tmp_path) as processes:
        command = f"clementinebend-standin-{name}"
        port = free_port()
        process = await processes.start_process(
            [command, *COMMANDS[name], "--port", str(port)]
        )
        assert process.port == port
        assert await processes.terminate(process) == 0
        assert process.log_text() == ""


async def test_a_paused_process_answers_once_it_is_woken(tmp_path: Path) -> None:
    with running_processes(tmp_path) as processes:
        process = await processes.start_process(["clementinebend-standin-log"])
        async with calling(process.url) as log:
            processes.pause(process)
            appending = create_task(log.call("POST", "/streams/a", b"1"))
            processes.wake(process)
            assert (await appending).json() == {"offset": 0}


async def test_an_engine_dies_after_the_chunks_that_a_fault_allows(
    tmp_path: Path,
) -> None:
    with running_processes(tmp_path) as processes:
        args = ["clementinebend-standin-engine", "--model", "m", "--step-ms", "1"]
        process = await processes.start_process(args)
        async with calling(process.url) as engine:
            await engine.set_faults(die_after_chunks=2)
            body = b'{"model":"m","prompt":"p","stream":true,"target_tokens":100}'
            outcome = await engine.client.request(
                "POST", process.url + "/v1/completions", body=body
            )
            assert outcome.is_error()
            assert await processes.exit_code(process) == 1


async def test_a_process_that_cannot_start_is_reported_with_its_log(
    tmp_path: Path,
) -> None:
    with (
        running_processes(tmp_path) as processes,
        pytest.raises(ProcessError, match="ended with"),
    ):
        await processes.start_process(["clementinebend-standin-engine"])
