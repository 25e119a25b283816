"""Declarations and the log change what a sidecar does, and orders need a claim."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

from clementinebend_records.records import FencingClaim
from clementinebend_records.streams import FENCING_STREAM
from tests.lib.cluster_files import write_yaml
from tests.lib.http_calls import Caller, calling
from tests.lib.log_readers import read_batches
from tests.lib.processes import (
    LOCALHOST,
    Processes,
    RunningProcess,
    free_port,
    run_to_end,
    running_processes,
    wait_until,
)
from tests.lib.sidecars import engine, start_sidecar

LOG = ("clementinebend-standin-log",)
NEW_MODEL = "model-2"


class Slot(NamedTuple):
    """A log and an engine, and a place for sidecars of it."""

    processes: Processes
    log: RunningProcess
    behind: RunningProcess
    log_caller: Caller
    engine_caller: Caller

    async def start(self, **settings: Any) -> tuple[RunningProcess, str]:
        """Start a sidecar; return it and the URL of its operators' side."""
        content = {"log_url": self.log.url, **settings}
        process, http_port = await start_sidecar(
            self.processes, self.behind.url, **content
        )
        return process, f"http://{LOCALHOST}:{http_port}"

    async def operate(self, command: str, *args: str | Path) -> None:
        """Run an operators' command, which must succeed."""
        settings = {"log_url": self.log.url, "author": "jana"}
        path = write_yaml(self.processes.directory / "operator.yaml", settings)
        line = ["clementinebend", command, *args, "--settings", path]
        code, output = await run_to_end(self.processes, line, command)
        assert code == 0, output

    async def publish(self, **endpoint: Any) -> None:
        """Publish declarations with the endpoint ``engine-1``."""
        place = {"service": "models", "zone": "zone-a", "host": LOCALHOST, "port": 1}
        service = {"kind": "model", "models": [NEW_MODEL]}
        document = {
            "services": {"models": service},
            "endpoints": {"engine-1": {**place, **endpoint}},
        }
        path = self.processes.directory / "declarations.yaml"
        await self.operate("publish", write_yaml(path, document))

    async def loaded(self) -> list[str]:
        """Return the models that the engine was ordered to load."""
        orders = await self.engine_caller.get("/orders")
        return [order["subject"] for order in orders["executed"]]

    async def claimants(self) -> list[str]:
        """Return the sidecars that claimed the engine, oldest first."""
        batches = await read_batches(
            self.log_caller.client, self.log.url, FENCING_STREAM
        )
        records = (record for _, batch in batches for record in batch.records)
        return [each.sidecar for each in records if isinstance(each, FencingClaim)]


@asynccontextmanager
async def running_slot(directory: Path, *engine_args: str) -> AsyncIterator[Slot]:
    async with AsyncExitStack() as stack:
        processes = stack.enter_context(running_processes(directory))
        log = await processes.start_process(LOG, name="log")
        behind = await processes.start_process(engine(*engine_args), name="endpoint")
        log_caller = await stack.enter_async_context(calling(log.url))
        engine_caller = await stack.enter_async_context(calling(behind.url))
        yield Slot(processes, log, behind, log_caller, engine_caller)


async def revision_of(operators: Caller) -> int:
    """Return the revision that a sidecar has in force."""
    health = await operators.get("/healthz")
    return int(health["revision"])


async def test_an_endpoint_declared_leaving_leaves(tmp_path: Path) -> None:
    async with running_slot(tmp_path) as slot:
        sidecar, url = await slot.start()
        await slot.publish(leaving=False)
        async with calling(url) as operators:

            async def in_force() -> bool:
                return await revision_of(operators) > 0

            await wait_until(in_force, "the sidecar has read the declarations")
        await slot.publish(leaving=True)
        assert await slot.processes.exit_code(sidecar) == 0


async def test_a_schema_that_cannot_be_read_makes_it_leave(tmp_path: Path) -> None:
    async with running_slot(tmp_path) as slot:
        old, _ = await slot.start(schema_version=1)
        new, _ = await slot.start()
        await slot.operate("activate", "2")
        assert await slot.processes.exit_code(old) == 0
        assert new.handle.poll() is None


async def test_it_serves_while_the_log_cannot_be_reached(tmp_path: Path) -> None:
    async with running_slot(tmp_path) as slot:
        slot.processes.kill(slot.log)
        sidecar, url = await slot.start()
        async with calling(url) as operators:
            assert (await operators.call("GET", "/readyz")).status == 200
        assert await slot.processes.terminate(sidecar) == 0


async def test_a_declared_model_is_loaded_under_a_claim(tmp_path: Path) -> None:
    async with running_slot(tmp_path, "--fenced") as slot:
        await slot.start(fenced=True)
        await slot.publish(models=[NEW_MODEL])

        async def ordered() -> bool:
            return await slot.loaded() == [NEW_MODEL]

        await wait_until(ordered, "the model is loaded")
        assert len(await slot.claimants()) == 1


async def test_without_fencing_or_a_port_nothing_is_ordered(tmp_path: Path) -> None:
    async with running_slot(tmp_path) as slot:
        sidecar, url = await slot.start()
        await slot.publish(models=[NEW_MODEL])
        async with calling(url) as operators:

            async def in_force() -> bool:
                return await revision_of(operators) > 0

            await wait_until(in_force, "the sidecar has read the declarations")
        assert "the engine is not ordered" in sidecar.log_text()
        assert await slot.loaded() == []
        assert await slot.claimants() == []


async def test_a_replacement_orders_only_after_a_paused_predecessor_is_gone(
    tmp_path: Path,
) -> None:
    async with running_slot(tmp_path) as slot:
        port = free_port()
        first, _ = await slot.start(order_port=port)

        async def holds() -> bool:
            return "order port bound" in first.log_text()

        await wait_until(holds, "the first process holds the order port")
        slot.processes.pause(first)
        second, _ = await slot.start(order_port=port)
        await slot.publish(models=[NEW_MODEL])

        async def waits() -> bool:
            return "holds the order port" in second.log_text()

        await wait_until(waits, "the replacement waits")
        assert await slot.claimants() == []
        assert await slot.loaded() == []
        slot.processes.kill(first)

        async def ordered() -> bool:
            return await slot.loaded() == [NEW_MODEL]

        await wait_until(ordered, "the replacement orders")
        assert len(await slot.claimants()) == 1
