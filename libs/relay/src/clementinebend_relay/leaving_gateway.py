"""What a gateway does before a planned stop: it hands the origins that it keeps over.

Only gateways know the origins of streams whose entries have all ended, and their hosts
are often stopped together with the endpoints that are replaced by a later version. A
gateway removes its announcement, so that it is told no more origins, and sends those
that it keeps to the gateways that follow it on the ring.
"""

from asyncio import sleep, timeout
from collections import defaultdict
from collections.abc import Callable
from contextlib import suppress
from itertools import islice
from random import random
from typing import NamedTuple

from clementinebend_platform_client.keyed_log import (
    Conflict,
    KeyedLog,
    Page,
    StoreFailure,
)
from clementinebend_platform_client.newest_records import NewestRecords
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.discovery import Directory
from clementinebend_relay.messages import Message
from clementinebend_relay.origin_batches import (
    BATCH_INTERVAL,
    CHECKED_AT_ONCE,
    origin_batches,
    ring_key,
)
from clementinebend_relay.origin_keeper import OriginKeeper
from clementinebend_relay.origin_messages import ReportedOrigin
from clementinebend_relay.stream_origins import StreamKey
from clementinebend_transport.client_connection import Address

LEAVE_TIMEOUT = 2.0
"""Maximum seconds for the whole hand-over; a planned stop may take several."""

SETTLE_SECONDS = 0.25
"""Seconds between the removal of the announcement and the second hand-over: entries
read the removal, and gateways that stop at the same moment remove theirs."""

CONFLICT_PAUSE = 0.1
"""Longest pause in seconds before a removal that met another append is repeated."""

SUCCESSORS = 2
"""Number of gateways that get each origin, as one may have ended without notice."""


class LeavingGateway(NamedTuple):
    """A gateway that stops: what it keeps, the log of all gateways, and its socket."""

    name: str
    keeper: OriginKeeper
    log: KeyedLog
    send: Callable[[Message, Address], None]


async def hand_over_origins(gateway: LeavingGateway) -> None:
    """Remove a gateway's announcement, and send its origins to other gateways.

    They are sent at once, as entries stop asking this gateway when they read the
    removal, and again once others that stop at the same moment have removed themselves.
    Gives up after ``LEAVE_TIMEOUT`` seconds, or if the store does not answer.
    """
    problem = "the store took too long"
    with suppress(TimeoutError):
        async with timeout(LEAVE_TIMEOUT):
            failure = await _hand_over(gateway)
            if failure is None:
                return
            problem = failure.message
    log_decision("origins not handed over", problem=problem)


async def _hand_over(gateway: LeavingGateway) -> StoreFailure | None:
    """Return why the origins were not handed over twice, if so."""
    failure = await _send_origins(gateway)
    failure = failure or await _remove_announcement(gateway)
    if failure is not None:
        return failure
    await sleep(SETTLE_SECONDS)
    return await _send_origins(gateway)


async def _remove_announcement(gateway: LeavingGateway) -> StoreFailure | None:
    """Remove the announcement, unless a later boot has announced itself.

    The removal is conditional, as one that is executed late would remove that boot.
    """
    while True:
        page = await _read_newest(gateway)
        if isinstance(page, StoreFailure):
            return page
        if not _directory_of(page).is_announced(gateway.keeper.boot):
            return None
        removal = (gateway.name, b"")
        outcome = await gateway.log.append((removal,), page.next_offset)
        if isinstance(outcome, StoreFailure):
            return outcome
        if not isinstance(outcome, Conflict):
            return None
        await sleep(CONFLICT_PAUSE * random())


async def _send_origins(gateway: LeavingGateway) -> StoreFailure | None:
    """Send each origin to the gateways that follow its key, a few at a time."""
    page = await _read_newest(gateway)
    if isinstance(page, StoreFailure):
        return page
    others = _directory_of(page, without=gateway.name)
    keeper = gateway.keeper
    keys = [key for key, _ in keeper.table.items()]
    for start in range(0, len(keys), CHECKED_AT_ONCE):
        some = keys[start : start + CHECKED_AT_ONCE]
        for address, reports in _by_successor(some, keeper, others).items():
            for message in origin_batches(keeper.boot, reports):
                gateway.send(message, address)
        await sleep(BATCH_INTERVAL)
    log_decision(
        "origins handed over",
        origins=len(keys),
        gateways=len(others.announcements),
    )
    return None


async def _read_newest(gateway: LeavingGateway) -> Page | StoreFailure:
    return await NewestRecords(gateway.log, gateway.keeper.clock).read()


def _directory_of(page: Page, without: str = "") -> Directory:
    """Return the announced gateways, except for the one called ``without``."""
    directory = Directory()
    for record in page.records:
        if record.key != without:
            directory.on_record(record)
    return directory


def _by_successor(
    keys: list[StreamKey], keeper: OriginKeeper, others: Directory
) -> dict[Address, list[ReportedOrigin]]:
    """Return the origins of some streams by the gateways that are to keep them."""
    reports: defaultdict[Address, list[ReportedOrigin]] = defaultdict(list)
    for key in keys:
        report = keeper.report(key)
        if report is None:
            continue
        for name in islice(others.members_from(ring_key(key)), SUCCESSORS):
            reports[others.announcements[name].address].append(report)
    return reports
