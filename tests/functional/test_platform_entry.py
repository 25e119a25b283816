"""The real entry program before stand-ins of the platform."""

from asyncio import create_task, timeout
from signal import SIGHUP

from clementinebend_transport.lifecycle import EXIT_OK
from tests.lib.platform_engine import WHOLE_STREAM
from tests.lib.platform_fleet import READY_SECONDS, ROUTES, Entry, Fleet
from tests.lib.waiting import until


async def answers(fleet: Fleet, path: str, status: int) -> bool:
    """Tell whether a request gets ``status``."""
    return (await fleet.call(path)).ok.status == status


def has_logged(program: Entry, message: str) -> bool:
    """Tell whether a program has logged a message."""
    return any(line["message"] == message for line in program.lines())


async def is_unready(fleet: Fleet) -> bool:
    """Tell whether the first entry turns callers away."""
    return not await fleet.is_ready(fleet.entries[0])


async def test_calls_of_each_kind_are_served(fleet: Fleet) -> None:
    await fleet.start()
    plain = (await fleet.call("/safe/x")).ok
    assert (plain.status, plain.body) == (200, b"whole answer")
    assert (await fleet.call("/once/x")).ok.status == 200
    stream = (await fleet.call("/stream/x")).ok
    assert stream.body == WHOLE_STREAM
    assert stream.headers["x-response-signature"]


async def test_bad_input_gets_its_documented_answer(fleet: Fleet) -> None:
    await fleet.start()
    assert (await fleet.call("/nowhere/x")).ok.status == 404
    assert (await fleet.call("/safe/x", authorization="Bearer no")).ok.status == 401
    assert (await fleet.call("/safe/x", x_deadline_ms="soon")).ok.status == 400
    too_large = await fleet.call("/safe/x", padding="x" * 20_000)
    assert too_large.ok.status == 431
    assert (await fleet.call("/safe/x")).ok.status == 200


async def test_a_stream_that_breaks_off_goes_on_elsewhere(fleet: Fleet) -> None:
    await fleet.start()
    for fault in ("cut", "gap"):
        for engine in fleet.engines_of("pool"):
            engine.fault = fault
        first = fleet.engines_of("pool")[0]
        outcome = create_task(fleet.call("/stream/x", request_id=f"s-{fault}"))
        await until(lambda: fleet.runs(f"s-{fault}") > 0)  # noqa: B023
        for engine in fleet.engines_of("pool"):
            if not engine.runs[f"s-{fault}"]:
                engine.fault = ""
        stream = (await outcome).ok
        assert stream.body == WHOLE_STREAM
        assert fleet.runs(f"s-{fault}") == 2
        first.fault = ""


async def test_versions_of_the_engines_software_are_logged(fleet: Fleet) -> None:
    await fleet.start(engines=0)
    await fleet.add_engine("pool", version="v1.1")
    await until(lambda: has_logged(fleet.entries[0], "endpoint added"))
    await fleet.call("/stream/x", request_id="r0")
    await fleet.call("/stream/x", last_event_id="2", resumes="r0", request_id="r1")
    lines = fleet.entries[0].lines()
    added = next(line for line in lines if line["message"] == "endpoint added")
    assert added["software_version"] == "v1.1"
    resumed = next(
        line for line in lines if line["message"] == "stream resumed by caller"
    )
    assert resumed["resumes"] == "r0"
    assert resumed["after"] == "2"
    assert resumed["software_version"] == "v1.1"
    ended = next(line for line in lines if line["message"] == "call ended")
    assert ended["software_versions"] == ["v1.1"]


async def test_a_stream_that_cannot_go_on_never_looks_whole(fleet: Fleet) -> None:
    await fleet.start()
    for engine in fleet.engines_of("pool"):
        engine.fault = "cut"
    outcome = await fleet.call("/stream-once/x", request_id="once")
    assert outcome.is_error()
    assert fleet.runs("once") == 1


async def test_a_request_left_unanswered_is_logged_with_its_id(fleet: Fleet) -> None:
    await fleet.start()
    for engine in fleet.engines_of("pool"):
        engine.fault = "cut"
    assert (await fleet.call("/stream-once/x", request_id="cut")).is_error()
    left = "request left unanswered"
    await until(lambda: any(has_logged(entry, left) for entry in fleet.entries))
    lines = [line for entry in fleet.entries for line in entry.lines()]
    (line,) = (line for line in lines if line["message"] == left)
    assert (line["request_id"], line["reason"]) == ("cut", "source_cut")
    assert line["target"] == "/stream-once/x"


async def test_what_may_have_run_is_not_repeated(fleet: Fleet) -> None:
    await fleet.start()
    for engine in fleet.engines_of("desk"):
        engine.fault = "foreign"
    assert (await fleet.call("/once/x", request_id="o")).ok.status == 502
    assert fleet.runs("o") == 1
    assert (await fleet.call("/safe/x", request_id="s")).ok.status == 502
    assert fleet.runs("s") == 2


async def test_not_run_is_true_and_told_with_a_time_to_come_back(fleet: Fleet) -> None:
    await fleet.start()
    for engine in fleet.engines_of("desk"):
        engine.fault = "full"
    answer = (await fleet.call("/once/x", request_id="o")).ok
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert fleet.runs("o") == 0


async def test_the_routes_time_limit_is_kept(fleet: Fleet) -> None:
    await fleet.start()
    for engine in fleet.engines_of("desk"):
        engine.fault = "silent"
    async with timeout(1.0):
        assert (await fleet.call("/brief/x")).ok.status == 504


async def test_a_caller_that_leaves_cancels_its_run(fleet: Fleet) -> None:
    await fleet.start()
    for engine in fleet.engines_of("pool"):
        engine.pause = 1.0
    call = create_task(fleet.call("/stream/x", request_id="left"))
    await until(lambda: fleet.runs("left") == 1)
    call.cancel()
    await fleet.client.close()
    cancelled = [engine.cancelled for engine in fleet.engines]
    await until(lambda: any("left" in names for names in cancelled))


async def test_a_budget_is_never_passed_over_kills(fleet: Fleet) -> None:
    """Entries are killed without warning; each call costs at most 124 tokens."""
    prepaid, most = 3_000, 124
    await fleet.start(entries=2, prepaid=prepaid)
    served = 0
    for turn in range(3):
        for number in range(12):
            answer = await fleet.call("/stream/x", entry=number % 2)
            served += answer.is_ok() and answer.ok.status == 200
        killed = fleet.entries.pop(turn % 2)
        killed.process.kill()
        await killed.process.wait()
        await fleet.add_entry(killed.name, f"z{turn % 2}")
    assert 0 < served * most <= prepaid


async def test_a_spent_budget_is_told_and_a_top_up_counts(fleet: Fleet) -> None:
    await fleet.start(prepaid=400)
    statuses = [(await fleet.call("/stream/x")).ok.status for _ in range(6)]
    assert statuses[:3] == [200, 200, 200]
    assert statuses[-1] in (402, 429)
    fleet.configure(4_000)
    await until(lambda: answers(fleet, "/stream/x", 200))


async def test_a_caller_of_an_entry_that_is_starting_is_served(fleet: Fleet) -> None:
    await fleet.start()
    fleet.entries[0].process.kill()
    await fleet.entries[0].process.wait()
    await fleet.restart_entry(0)
    await until(lambda: fleet.is_bound(fleet.entries[0]))
    assert not await fleet.is_ready(fleet.entries[0])
    assert (await fleet.call("/safe/x")).ok.status == 200


async def test_an_order_to_reload_ends_no_program(fleet: Fleet) -> None:
    await fleet.start()
    gateway = await fleet.add_gateway("side-0")
    await until(lambda: fleet.is_bound(gateway))
    await fleet.restart_entry(0)
    starting = fleet.entries[0]
    await until(lambda: fleet.is_bound(starting))
    for program in (gateway, starting):
        program.process.send_signal(SIGHUP)
    await until(lambda: has_logged(gateway, "reloaded"))
    await until(lambda: fleet.is_ready(starting), READY_SECONDS)
    assert await fleet.reaches_store(gateway)


async def test_calls_go_on_while_the_store_is_away(fleet: Fleet) -> None:
    await fleet.start(entries=3)
    for number in range(30):
        assert (await fleet.call("/stream/x", entry=number % 3)).ok.status == 200
    for fault in ("silent", "busy"):
        fleet.store.fault = fault
        for number in range(12):
            answer = await fleet.call("/stream/x", entry=number % 3)
            assert answer.ok.status == 200, fault
        fleet.store.fault = ""
    assert (await fleet.call("/stream/x")).ok.status == 200


async def test_configuration_and_leaving_are_followed(fleet: Fleet) -> None:
    await fleet.start()
    leaving, staying = fleet.engines_of("desk")
    fleet.store.put("servers", leaving.name, leaving.entry("draining"))
    entry = fleet.entries[0]
    await until(
        lambda: any(line["message"] == "endpoint leaving" for line in entry.lines())
    )
    before = leaving.runs.total()
    for _ in range(10):
        assert (await fleet.call("/safe/x")).ok.status == 200
    assert leaving.runs.total() == before
    fleet.configure(1_000_000, ROUTES[1:])
    await until(lambda: answers(fleet, "/safe/x", 404), within=2.0)


async def test_a_planned_stop_cuts_nothing_off(fleet: Fleet) -> None:
    await fleet.start()
    for engine in fleet.engines_of("pool"):
        engine.pause = 0.3
    call = create_task(fleet.call("/stream/x", request_id="open"))
    await until(lambda: fleet.runs("open") == 1)
    stopping = create_task(fleet.terminate(0))
    await until(lambda: is_unready(fleet), within=2.0)
    assert (await call).ok.body == WHOLE_STREAM
    assert await stopping == EXIT_OK


async def test_decisions_are_logged_and_counted(fleet: Fleet) -> None:
    await fleet.start()
    await fleet.call("/safe/x", request_id="told")
    await fleet.call("/safe/x", request_id="refused", authorization="Bearer no")
    entry = fleet.entries[0]
    entry.process.send_signal(SIGHUP)
    await until(lambda: any(line["message"] == "reloaded" for line in entry.lines()))
    lines = {line.get("request_id"): line for line in entry.lines()}
    assert lines["told"]["message"] == "call ended"
    assert lines["told"]["endpoints"]
    assert lines["refused"]["reason"] == "unknown_key"
    url = f"http://127.0.0.1:{entry.metrics_port}/metrics"
    page = (await fleet.client.request("GET", url)).ok.body.decode()
    assert 'rejections_total{reason="unknown_key"} 1.0' in page
    assert "first_byte_seconds_bucket" in page


async def test_calls_are_placed_by_what_a_gateway_tells_while_it_lives(
    fleet: Fleet,
) -> None:
    await fleet.start()
    entry = fleet.entries[0]
    gateway = await fleet.add_gateway("side-0")
    await until(lambda: fleet.is_bound(gateway))

    async def is_told() -> bool:
        """Tell whether a call was placed by reports on both endpoints."""
        assert (await fleet.call("/stream/x")).ok.status == 200
        ended = [line for line in entry.lines() if line["message"] == "call ended"]
        return bool(ended) and ended[-1]["reports"] == 2

    await until(is_told)
    gateway.process.kill()
    await gateway.process.wait()

    async def is_silent() -> bool:
        """Tell whether the entry has noticed; calls are served meanwhile."""
        assert (await fleet.call("/stream/x")).ok.status == 200
        return has_logged(entry, "queue keeper silent")

    await until(is_silent)


async def test_a_gateway_stops_in_order_while_entries_use_it(fleet: Fleet) -> None:
    # Each connection that a stopping gateway still carried became an error in its log,
    # which hid what else had happened on a host that was replaced.
    await fleet.start(entries=0)
    gateway = await fleet.add_gateway("side-0")
    await until(lambda: fleet.is_bound(gateway))
    await fleet.add_entry("edge-0", "z0", store=gateway.port)
    gateway.process.terminate()
    assert await gateway.process.wait() == EXIT_OK
    assert has_logged(gateway, "stopped")
    assert not [line for line in gateway.lines() if line["level"] == "ERROR"]
