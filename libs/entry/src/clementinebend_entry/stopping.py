"""The planned stop: requests in progress end whole, then bills, then the holder."""

from asyncio import wait
from contextlib import suppress
from logging import getLogger

from clementinebend_entry.fleet import Fleet
from clementinebend_entry.settings import EntrySettings
from clementinebend_transport.http_server import HttpServer
from clementinebend_transport.late_waits import result_within
from clementinebend_transport.lifecycle import EXIT_OK, EXIT_STOP_INCOMPLETE

logger = getLogger(__name__)

FLUSH_PATIENCE_S = 10.0
"""How long bills may take to be read back after the last request has ended."""


async def stop_in_order(
    settings: EntrySettings, fleet: Fleet, http_server: HttpServer
) -> int:
    """End everything that is in progress; return the exit code."""
    fleet.greet_again()
    is_drained = await http_server.drain(settings.drain_timeout_s)
    is_drained &= await end_executions(settings, fleet)
    fleet.keeper.bill_all()
    is_flushed = await flush(fleet)
    is_clean = await fleet.ledger.close(FLUSH_PATIENCE_S if is_flushed else 0.0)
    await fleet.claims.close(FLUSH_PATIENCE_S if is_flushed else 0.0)
    logger.info(
        "planned stop ends",
        extra={"drained": is_drained, "flushed": is_flushed, "clean": is_clean},
    )
    return EXIT_OK if is_drained and is_clean else EXIT_STOP_INCOMPLETE


async def end_executions(settings: EntrySettings, fleet: Fleet) -> bool:
    """Wait for runs that go on without their callers."""
    tasks = tuple(fleet.tasks)
    if not tasks:
        return True
    _, pending = await wait(tasks, timeout=settings.drain_timeout_s)
    return not pending


async def flush(fleet: Fleet) -> bool:
    """Wait until all bills and claims have been read back; return whether they are."""
    with suppress(TimeoutError):
        await result_within(fleet.ledger.until_settled(), FLUSH_PATIENCE_S)
    return fleet.ledger.is_settled
