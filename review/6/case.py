"""One tenant's client names no limit for its output; entries end by themselves.

Clients of the tenant `desk` send plain requests and streams over kept channels all the
time. The tenant `batch` starts forty workers at once, which send a request a second for
eight seconds. Their largest number of output tokens is 18446744073709551615, "no limit"
as an unsigned 64-bit number. With TROUBLE=0 that number is 64.
"""

import asyncio
import sys
import time
from collections import Counter

from stage import BROKEN, HELD, STABLE_S, TROUBLE, Channel, main, route

NO_LIMIT = 2**64 - 1
WARM_S, TROUBLE_S, AFTER_S = 5.0, 8.0, 4.0
CLIENTS = 24
WORKERS = 40
WORK_S = 0.12
MOST_LOST = 3  # LOST: "more than three times"

ROUTES = [
    route("/book/", "unsafe", "desk"),
    route("/stream/", "streaming", "pool"),
]
TENANTS = [
    {"name": "desk", "api_keys": ["key-desk"], "priority": 1, "prepaid": 4_000_000},
    {"name": "batch", "api_keys": ["key-batch"], "priority": 1, "prepaid": 4_000_000},
]
SERVICES = [
    {"name": "pool", "health_path": "/healthz", "max_connections": 370,
     "engine": {"slots": 64, "stride": 3}},
    {"name": "desk", "health_path": "/healthz", "max_connections": 110},
]


async def client(stage, lost, counts):
    """Send one request after another, and reconnect as clients do."""
    channel = None
    while True:
        if channel is None or channel.writer is None:
            channel = Channel(stage, stage.pick())
            try:
                await channel.open()
            except (OSError, TimeoutError):
                counts["no connection"] += 1
                channel = None
                await asyncio.sleep(0.2)
                continue
        number = next(stage.ids)
        request_id = f"desk-{number}"
        headers = {
            "X-Request-Id": request_id, "X-Deadline-Ms": "6000",
            "Authorization": "Bearer key-desk",
        }
        path, body = "/book/1", b"{}"
        if number % 3 == 0:
            path = "/stream/1"
            headers |= {
                "X-Model": "m", "X-Token-Usage": "400,24",
                "X-Prefix-Hash": f"5c1e07a2:300,{number:08x}:100",
            }
        machine, is_kept = channel.machine, channel.answered > 0
        sent_at = time.monotonic()
        status, _, _ = await channel.send("POST", path, headers, body)
        counts["cut" if status in (None, -1) else status] += 1
        if status in (None, -1):
            channel.close()
            ran = sum(each.runs[request_id] for each in stage.engines)
            quiet = sent_at - machine.disturbed_at > STABLE_S
            what = "no answer" if status is None else "not whole"
            stage.record.line(
                f"client {request_id} at {machine.name}: channel closed, {what}; "
                f"kept channel: {is_kept}; runs at engines: {ran}"
            )
            if status is None and is_kept and ran and quiet:
                lost.append(request_id)
        await asyncio.sleep(0.02)


async def worker(stage, most, until):
    """Send a request of the tenant `batch` each second, each on a new channel."""
    while time.monotonic() < until:
        channel = Channel(stage, stage.pick())
        request_id = f"batch-{next(stage.ids)}"
        try:
            await channel.open()
            headers = {
                "X-Request-Id": request_id, "X-Deadline-Ms": "6000",
                "Authorization": "Bearer key-batch", "X-Model": "m",
                "X-Token-Usage": f"400,{most}", "X-Prefix-Hash": "77aa07a2:300,11:100",
            }
            async with asyncio.timeout(2.0):
                status, _, _ = await channel.send("POST", "/stream/2", headers, b"{}")
            stage.record.line(
                f"client {request_id} at {channel.machine.name}: usage 400,{most}: {status}"
            )
        except (OSError, TimeoutError):
            stage.record.line(f"client {request_id} at {channel.machine.name}: no connection")
        channel.close()
        await asyncio.sleep(1.0)


async def batch(stage):
    """Let the workers of the tenant `batch` start at once."""
    most = NO_LIMIT if TROUBLE else 64
    until = time.monotonic() + TROUBLE_S
    await asyncio.gather(*(worker(stage, most, until) for _ in range(WORKERS)))


async def case(stage):
    await stage.start(entries=3)
    stage.configure(ROUTES, TENANTS, SERVICES)
    await stage.until_ready()
    for engine in stage.engines:
        engine.work_seconds = WORK_S
        engine.pause = 0.02
    lost, counts = [], Counter()
    clients = [asyncio.create_task(client(stage, lost, counts)) for _ in range(CLIENTS)]
    await asyncio.sleep(WARM_S)
    await batch(stage)
    await asyncio.sleep(AFTER_S)
    for task in clients:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    ends = {each.name: each.own_ends for each in stage.entries}
    summary = [
        f"trouble: {TROUBLE}",
        f"answers to the tenant desk: {dict(counts)}",
        f"processes that ended by themselves, with exit codes: {ends}",
        f"requests of the tenant desk that an engine ran and whose kept channel was "
        f"closed without an answer: {len(lost)} ({MOST_LOST} allowed)",
    ]
    for line in summary:
        stage.record.line(line)
        print(line)
    return BROKEN if len(lost) > MOST_LOST else HELD


main(case, sys.argv[1])
