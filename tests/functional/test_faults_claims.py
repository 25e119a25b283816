"""Claims of bookings while entries sleep, race, or read the log late."""

from asyncio import create_task, gather
from collections import Counter
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from tests.lib.books import executed_calls, settled_books, until_balanced
from tests.lib.cluster_files import PLAIN_PATH, Plan
from tests.lib.clusters import Cluster, running_cluster
from tests.lib.http_calls import Called
from tests.lib.processes import wait_until
from tests.lib.questions import GATEWAY_TIMEOUT, OK

pytestmark = pytest.mark.asyncio(loop_scope="module")

SERVICE = "service-1-endpoint"
CLAIMS = "claims-0"
CONFLICT = 409
SLOW_MS = 500
SHORT = {"x-deadline-ms": "1500"}
PLAN = Plan(engines=0)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def cluster(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Cluster]:
    async with running_cluster(tmp_path_factory.mktemp("claims"), PLAN) as started:
        yield started


@pytest_asyncio.fixture(autouse=True, loop_scope="module")
async def all_back(cluster: Cluster) -> AsyncIterator[None]:
    yield
    for name in cluster.entries:
        cluster.processes.wake(cluster.running[name])
    await cluster.caller(SERVICE).set_faults(hang=False)
    await cluster.caller("log").set_faults(slow_ms=0)


async def claims_logged(cluster: Cluster) -> int:
    """Return how many batches the log has of the claims."""
    stats = await cluster.caller("log").get("/stats")
    return int(stats["streams"].get(CLAIMS, 0))


async def book_within(cluster: Cluster, entry: str, key: str, body: bytes) -> Called:
    """Book with a short deadline."""
    headers = {"idempotency-key": key, **SHORT}
    return await cluster.call(entry, "POST", PLAIN_PATH, body, headers)


async def until_answered(cluster: Cluster, entry: str, key: str, body: bytes) -> Called:
    """Repeat a booking while its outcome is not known."""
    answers: list[Called] = []

    async def answered() -> bool:
        answers.append(await cluster.book(entry, key, body))
        return answers[-1].status != GATEWAY_TIMEOUT

    await wait_until(answered, f"the outcome of {key!r} is known")
    return answers[-1]


async def test_an_entry_that_sleeps_after_its_claim_is_the_only_one_to_execute(
    cluster: Cluster,
) -> None:
    before = await settled_books(cluster)
    calls = len(await executed_calls(cluster))
    logged = await claims_logged(cluster)
    await cluster.caller("log").set_faults(slow_ms=SLOW_MS)
    first = create_task(cluster.book("entry-1", "asleep", b"1"))

    async def claimed() -> bool:
        return await claims_logged(cluster) > logged

    await wait_until(claimed, "the claim is on the log")
    cluster.processes.pause(cluster.running["entry-1"])
    await cluster.caller("log").set_faults(slow_ms=0)
    told = await book_within(cluster, "entry-2", "asleep", b"1")
    assert told.status in (OK, GATEWAY_TIMEOUT), told
    cluster.processes.wake(cluster.running["entry-1"])
    answer = await first
    again = await until_answered(cluster, "entry-2", "asleep", b"1")
    assert (answer.status, again.status) == (OK, OK), (answer, again)
    assert again.body == answer.body
    assert await executed_calls(cluster) == [1] * (calls + 1)
    await until_balanced(cluster, len(before.bills) + 1)


async def test_an_entry_that_sleeps_while_its_booking_runs_gets_the_answer(
    cluster: Cluster,
) -> None:
    before = await settled_books(cluster)
    calls = len(await executed_calls(cluster))
    await cluster.caller(SERVICE).set_faults(hang=True)
    first = create_task(cluster.book("entry-1", "dozing", b"2"))

    async def executed() -> bool:
        return len(await executed_calls(cluster)) > calls

    await wait_until(executed, "the booking is executed")
    cluster.processes.pause(cluster.running["entry-1"])
    told = await book_within(cluster, "entry-2", "dozing", b"2")
    assert told.status == GATEWAY_TIMEOUT, told
    await cluster.caller(SERVICE).set_faults(hang=False)
    cluster.processes.wake(cluster.running["entry-1"])
    answer = await first
    again = await until_answered(cluster, "entry-2", "dozing", b"2")
    assert (answer.status, again.status) == (OK, OK), (answer, again)
    assert again.body == answer.body
    assert await executed_calls(cluster) == [1] * (calls + 1)
    await until_balanced(cluster, len(before.bills) + 1)


async def test_of_two_bodies_that_race_for_one_key_one_is_executed(
    cluster: Cluster,
) -> None:
    before = await settled_books(cluster)
    calls = len(await executed_calls(cluster))
    racing = zip(cluster.entries, (b"site 1", b"site 2"), strict=True)
    booked = await gather(
        *(cluster.book(entry, "race", body) for entry, body in racing)
    )
    assert Counter(answer.status for answer in booked) == {OK: 1, CONFLICT: 1}, booked
    assert await executed_calls(cluster) == [1] * (calls + 1)
    await until_balanced(cluster, len(before.bills) + 1)
