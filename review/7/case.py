"""One request a tenant and entry that names a large output, then all entries are killed.

Four tenants have a prepaid budget that lasts for a quarter of an hour of their traffic. Each sends one
request to each entry whose largest number of output tokens is 2147483647; it is refused.
Two seconds later the operator tops up the budgets, and as the store has acknowledged
that, all entries are killed, and start again half a second later. With TROUBLE=0 they are
not killed. With LARGE=0 that number is 64, and they are killed.
"""

import asyncio
import os
import signal
import sys
import time
from collections import Counter

from stage import BROKEN, HELD, NOT_RUN, TROUBLE, Channel, main, route

MOST = 64 if os.environ.get("LARGE") == "0" else 2**31 - 1
CLIENTS = 16
WARM_S, BEFORE_S, WAIT_S, JUDGED_S = 4.0, 5.0, 2.0, 8.0
RECOVER_S = 12.0
PREPAID = 4_000_000
TOP_UP = 40_000

TEAMS = ("desk", "guides", "lodges", "parks")
ROUTES = [route("/stream/", "streaming", "pool")]
SERVICES = [
    {"name": "pool", "health_path": "/healthz", "max_connections": 370,
     "engine": {"slots": 64, "stride": 3}},
]


def tenants(prepaid):
    return [
        {"name": name, "api_keys": [f"key-{name}"], "priority": 1, "prepaid": prepaid}
        for name in TEAMS
    ]


def headers_of(request_id, team, most):
    return {
        "X-Request-Id": request_id, "X-Deadline-Ms": "6000",
        "Authorization": f"Bearer key-{team}", "X-Model": "m",
        "X-Token-Usage": f"400,{most}", "X-Prefix-Hash": f"5c1e07a2:300,{request_id[-6:]}:100",
    }


async def client(stage, team, answers):
    """Send one request after another, and reconnect as clients do."""
    channel = None
    while True:
        request_id = f"{team}-{next(stage.ids):06d}"
        sent_at = time.monotonic()
        if channel is None or channel.writer is None:
            channel = Channel(stage, stage.pick())
            try:
                await channel.open()
            except (OSError, TimeoutError):
                answers.append((sent_at, team, "no connection"))
                channel = None
                await asyncio.sleep(0.3)
                continue
        status, _, _ = await channel.send(
            "POST", "/stream/1", headers_of(request_id, team, 24), b"{}"
        )
        if status in (None, -1):
            channel.close()
        answers.append((sent_at, team, status))
        stage.record.line(f"client {request_id} at {channel.machine.name}: {status}")
        await asyncio.sleep(0.35)


def served(answers, since, until):
    """Return the statuses and the share of 200 of requests sent in a span."""
    statuses = Counter(status for at, _, status in answers if since <= at < until)
    total = sum(statuses.values())
    return statuses, statuses[200] / total if total else 0.0


async def case(stage):
    await stage.start(entries=3, engines={"pool": 4})
    stage.configure(ROUTES, tenants(PREPAID), SERVICES)
    await stage.until_ready()
    answers = []
    clients = [
        asyncio.create_task(client(stage, TEAMS[number % len(TEAMS)], answers))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(WARM_S)
    began = time.monotonic()
    await asyncio.sleep(BEFORE_S)
    before, share_before = served(answers, began, time.monotonic())
    for machine in stage.entries:
        for team in TEAMS:
            channel = Channel(stage, machine)
            await channel.open()
            request_id = f"{team}-{next(stage.ids):06d}"
            status, _, _ = await channel.send(
                "POST", "/stream/2", headers_of(request_id, team, MOST), b"{}"
            )
            stage.record.line(
                f"client {request_id} at {machine.name}: usage 400,{MOST}: {status}"
            )
            channel.close()
    await asyncio.sleep(WAIT_S)
    stage.configure(ROUTES, tenants(PREPAID + TOP_UP), SERVICES)
    if TROUBLE:
        for machine in stage.entries:
            machine.signal(signal.SIGKILL)
            stage.ready[machine.name] = False
    await asyncio.sleep(0.2)
    await stage.until_ready()
    back_at = time.monotonic()
    stage.record.line("all entries are ready")
    await asyncio.sleep(RECOVER_S + JUDGED_S)
    after, share_after = served(answers, back_at + RECOVER_S, time.monotonic() - 0.5)
    for task in clients:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    spent = Counter()
    for _, team, status in answers:
        if status == 200:
            spent[team] += 424
    for line in (
        f"trouble: {TROUBLE}; usage of the large requests: 400,{MOST}",
        f"before the fault: {dict(before)}, {share_before:.3f} served",
        f"later than {RECOVER_S:.0f} s after the entries were back: {dict(after)}, {share_after:.3f} served",
        f"tokens that the tenants were served in all, of {PREPAID + TOP_UP} each: {dict(spent)}",
    ):
        stage.record.line(line)
        print(line)
    if share_before < 0.25:
        return NOT_RUN
    return BROKEN if share_after < 0.25 else HELD


main(case, sys.argv[1])
