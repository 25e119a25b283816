"""Announcements of engines that the store executes late, with entries as processes."""

from tests.lib.platform_fleet import Fleet
from tests.lib.waiting import until

CALLS = 60


async def test_a_late_heartbeat_sends_no_calls_to_a_leaving_engine(
    fleet: Fleet,
) -> None:
    """Guards against requests that an engine loses as it exits after its draining."""
    await fleet.start(engines=2)
    (leaving, _) = fleet.engines_of("desk")
    late, newer = leaving.entry(), leaving.entry()
    fleet.store.put("servers", leaving.name, newer)
    fleet.store.put("servers", leaving.name, leaving.entry("draining"))
    fleet.store.put("servers", leaving.name, late)
    logged = '"message": "late announcement ignored"'
    await until(lambda: logged in fleet.entries[0].output.read_text())
    before = leaving.runs.total()
    answers = [await fleet.call("/safe/x") for _ in range(CALLS)]
    assert {answer.ok.status for answer in answers} == {200}
    assert leaving.runs.total() == before
