"""An engine that leaves gets requests again, as an earlier heartbeat of it is written late.

The store loses the answers of some writes for 4 s and executes them 1 to 6 s later. One
heartbeat of an engine (`ready`, sequence N) is among them. The engine goes on announcing
itself; 3.1 s after the end of the impairment it reports `draining` (a later sequence), which
is acknowledged and read by all entries. Then the old heartbeat is executed.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stage"))
from stage import DRAIN_S, TROUBLE, Client, main, route, service

KEY = "key-tested"
LATE_S = 5.9  # "done 1 to 6 s later"
IMPAIRED_S = 4.0
STABLE_S = 3.1  # stability_window_ms is 3,000
SERVES_ON_S = 3.4  # drain_ms and "a little longer (at times many seconds)"
CLIENTS = 45


async def play(stage):
    holds = route("r-hold", "/hold/", "unsafe", "desk")
    tenants = [
        {"name": "tested", "api_keys": [KEY], "priority": 1, "prepaid": 1_000_000}
    ]
    stage.configure([holds], [service("desk")], tenants)
    for number in range(4):
        engine = await stage.add_engine(
            "desk", ("worcester", "providence", "portland")[number % 3]
        )
        engine.slots, engine.work_s = 6, 0.09
    for zone in ("worcester", "providence", "portland"):
        await stage.add_entry(zone)
    await stage.until_ready()
    leaving = stage.engines[0]
    answers = []
    is_over = asyncio.Event()

    async def press(number):
        entry = stage.entries[number % len(stage.entries)]
        client = Client(stage, entry.front)
        while not is_over.is_set():
            answers.append(await client.call(f"/hold/{number}", KEY, 3000))
            await asyncio.sleep(0.3)
        client.close()

    pressing = [asyncio.create_task(press(number)) for number in range(CLIENTS)]
    await asyncio.sleep(3.0)

    def hold_beat(engine, value):
        engine.hold_beat = None
        stage.record.line(
            f"{engine.id} ready, sequence {engine.sequence}: not answered"
        )

        def execute():
            stage.store.put("servers", engine.id, value)
            stage.record.line("the store executes that write now")

        asyncio.get_running_loop().call_later(LATE_S, execute)
        return True

    if TROUBLE:
        stage.record.line(
            "the store begins to lose answers, and to execute writes late"
        )
        await asyncio.sleep(IMPAIRED_S - 1.3)
        leaving.hold_beat = hold_beat
        while leaving.hold_beat is not None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.1)
        stage.record.line("the store answers all again")
    else:
        await asyncio.sleep(IMPAIRED_S)
    await asyncio.sleep(STABLE_S)
    leaving.beats.cancel()
    leaving.beats = asyncio.create_task(leaving._beat())
    acked_at = leaving.drain()
    await asyncio.sleep(SERVES_ON_S)
    leaving.stop()
    await asyncio.sleep(2.0)
    is_over.set()
    await asyncio.gather(*pressing)

    sent_at = {answer.name: answer.sent_at for answer in answers}
    late = [
        name
        for reached, name, _ in leaving.arrivals
        if reached > acked_at + DRAIN_S and sent_at[name] > acked_at
    ]
    lost = [
        answer
        for answer in answers
        if answer.name in late and answer.name not in leaving.finished
    ]
    for answer in lost:
        stage.record.line(
            f"lost with the engine: {answer.name}, answered {answer.status}"
        )
    return not late, (
        f"{len(late)} requests reached the engine later than {DRAIN_S} s after "
        f"the ack of its draining; {len(lost)} of them were lost with it"
    )


main(Path(__file__).parent, play)
