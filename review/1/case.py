"""A budget is overspent as the entry that wrote its quotas is killed after an outage.

One tenant's drafts are being streamed; the store is down for 4 s, in which some more are
served from what the entry may spend without the store; it returns, and half a second later
the entry is killed. The rest of the budget is then used up at all entries.
"""

import asyncio
import sys
from pathlib import Path
from signal import SIGKILL
from time import monotonic

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stage"))
from stage import TROUBLE, CannotRun, Client, main, model_service, route

PREPAID = 8_000_000
DRAFT = (11_992, 380)  # guide-draft: 5,382 shared + 6,610 tokens in, 76 events out
SMALL = (826, 290)  # reference-answer
EVENT_TOKENS = 5
DRAFTS, MORE_DRAFTS = 80, 6
TIME_LIMIT_MS = 15_000
OUTAGE_S = 4.0  # at most 4.5 s on the sheet's days
BEAT_S = 0.14  # 76 events in 10.6 s of 15 s; pauses may be 500 ms
KEY = "key-tested"


async def play(stage):
    drafts = route(
        "r-draft",
        "/draft/",
        "streaming",
        "model",
        timeout_ms=15000,
        target_latency_ms=800,
        gap_target_ms=500,
        resumable=True,
    )
    replies = route(
        "r-reply",
        "/reply/",
        "streaming",
        "model",
        timeout_ms=15000,
        target_latency_ms=500,
        gap_target_ms=500,
        resumable=True,
    )
    tenants = [{"name": "tested", "api_keys": [KEY], "priority": 1, "prepaid": PREPAID}]
    stage.configure([drafts, replies], [model_service("model")], tenants)
    for number in range(4):
        await stage.add_engine(
            "model", ("worcester", "providence", "portland")[number % 3]
        )
    for zone in ("worcester", "providence", "portland", "worcester"):
        await stage.add_entry(zone)
    await stage.until_ready()
    answers = []

    async def draw(entry, target, usage, client=None):
        one = client or Client(stage, entry.front)
        answers.append(
            (usage, answer := await one.call(target, KEY, TIME_LIMIT_MS, usage))
        )
        if client is None:
            one.close()
        return answer

    for entry in stage.entries:
        await draw(entry, "/reply/a", SMALL)
    await asyncio.sleep(2.0)
    writers = [
        key
        for (topic, _), records in stage.store.parts.items()
        if topic == "keyed.marks"
        for key, _ in records
        if key.startswith("tested/")
    ]
    if not writers:
        raise CannotRun("no entry wrote quotas of the tenant")
    home = next(entry for entry in stage.entries if entry.name in writers[-1])
    stage.record.line(f"{home.name} wrote the tenant's quotas last")

    for engine in stage.engines:
        engine.stream_s = BEAT_S
    running = []
    for _ in range(DRAFTS):
        running.append(asyncio.create_task(draw(home, "/draft/a", DRAFT)))
        await asyncio.sleep(0.075)
    await asyncio.sleep(1.0)
    if TROUBLE:
        stage.store.mode = "busy"
        stage.record.line("the store is down")
    await asyncio.sleep(1.0)
    for _ in range(MORE_DRAFTS):
        running.append(asyncio.create_task(draw(home, "/draft/a", DRAFT)))
        await asyncio.sleep(0.1)
    await asyncio.sleep(OUTAGE_S - 1.0 - 0.1 * MORE_DRAFTS)
    if TROUBLE:
        stage.store.mode = "up"
        stage.record.line("the store is back")
        await asyncio.sleep(0.5)
        home.send(SIGKILL)
        await home.process.wait()
    await asyncio.gather(*running)

    for engine in stage.engines:
        engine.stream_s = 0.0
    await asyncio.sleep(3.0)
    if TROUBLE:
        await home.start()
        await stage.until_ready()
    clients = [Client(stage, entry.front) for entry in stage.entries]
    for target, usage in (("/draft/b", DRAFT), ("/reply/b", SMALL)):
        refused_since = None
        while refused_since is None or monotonic() - refused_since < 8.0:
            drawn = (draw(None, target, usage, client) for client in clients)
            for answer in await asyncio.gather(*drawn):
                if answer.status == 200:
                    refused_since = None
                elif refused_since is None:
                    refused_since = monotonic()
            if refused_since is not None:
                await asyncio.sleep(0.25)
    got = sum(
        usage[0] + EVENT_TOKENS * answer.events
        for usage, answer in answers
        if answer.events
    )
    served = sum(answer.events > 0 for _, answer in answers)
    return got <= PREPAID, f"{served} requests got {got} tokens of {PREPAID} prepaid"


main(Path(__file__).parent, play)
