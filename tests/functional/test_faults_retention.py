"""The log trims records behind a cut: late and cold readers go on, nothing is lost."""

from itertools import count, repeat
from pathlib import Path

from clementinebend_records.streams import claims_streams, ledger_stream
from tests.lib.books import Books, books_from, executed_calls, executed_costs
from tests.lib.cluster_files import BUDGET
from tests.lib.clusters import LEDGER_SHARDS, Cluster, running_cluster
from tests.lib.log_recorder import LogRecorder, recording
from tests.lib.processes import wait_until
from tests.lib.questions import (
    OK,
    ask_all,
    ask_until_whole,
    check_all_answered,
    check_whole,
    questions,
)

TOKENS = 8
RETAINED = 40
STREAM = ledger_stream(BUDGET, LEDGER_SHARDS)
PATH = f"/streams/{STREAM}"
CLAIMS_STREAM = claims_streams(1)[0]
CLAIM_AND_OUTCOME = 2


async def end_of(cluster: Cluster) -> int:
    """Return the end of the ledger's stream."""
    stats = await cluster.caller("log").get("/stats")
    return int(stats["streams"][STREAM])


async def until_outcome_logged(cluster: Cluster) -> None:
    """Wait until the log has the one booking's claim and its outcome."""

    async def logged() -> bool:
        stats = await cluster.caller("log").get("/stats")
        return int(stats["streams"].get(CLAIMS_STREAM, 0)) >= CLAIM_AND_OUTCOME

    await wait_until(logged, "the outcome of the booking is logged")


async def until_recorded(cluster: Cluster, recorder: LogRecorder, bills: int) -> Books:
    """Wait until the whole stream has so many bills, one for each run."""
    books = books_from(await executed_costs(cluster), recorder.ledger())

    async def billed() -> bool:
        nonlocal books
        books = books_from(await executed_costs(cluster), recorder.ledger())
        return len(books.bills) >= bills and not books.unbilled

    await wait_until(billed, f"{bills} bills are recorded")
    assert len(books.bills) == bills, books
    return books


async def test_an_entry_behind_a_cut_outlives_the_retention_of_the_log(
    tmp_path: Path,
) -> None:
    async with (
        running_cluster(tmp_path) as cluster,
        recording(cluster.url("log"), STREAM) as recorder,
    ):
        first = questions("first", 10, TOKENS)
        answers = await ask_all(cluster, repeat("entry-1"), first)
        assert check_all_answered(answers, first) == first
        booked = await cluster.book("entry-1", "early", b"site 1")
        assert booked.status == OK, booked
        await until_recorded(cluster, recorder, len(first) + 1)
        await until_outcome_logged(cluster)
        await cluster.caller("log").set_faults(cut=["entry-1"], retain=RETAINED)
        (behind,) = questions("behind", 1, TOKENS)
        (answer,) = await ask_all(cluster, ["entry-1"], [behind])
        check_whole(answer, behind)
        seen = await end_of(cluster)
        asked = 0
        for number in count():
            if await end_of(cluster) > seen + 2 * RETAINED:
                break
            (each,) = questions(f"fill {number}", 1, TOKENS)
            await ask_until_whole(cluster, "entry-2", each)
            asked += 1
        trimmed = await cluster.caller("log").call("GET", f"{PATH}?from={seen}")
        assert trimmed.status == 410, trimmed
        await cluster.caller("log").set_faults(cut=[])
        total = len(first) + 1 + 1 + asked
        await until_recorded(cluster, recorder, total)
        cluster.processes.kill(cluster.running["entry-2"])
        await cluster.start_entry("entry-2")
        await cluster.until_serving(cluster.entries)
        late = questions("late", 2, TOKENS)
        for entry, each in zip(cluster.entries, late, strict=True):
            await ask_until_whole(cluster, entry, each)
        again = await cluster.book("entry-2", "early", b"site 1")
        assert (again.status, again.body) == (OK, booked.body)
        assert await executed_calls(cluster) == [1]
        books = await until_recorded(cluster, recorder, total + len(late))
        assert books.summary.held == 0
