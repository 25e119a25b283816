"""Idle limits that a configuration changes."""

from asyncio import sleep

from clementinebend_transport.http_server import ServerLimits
from clementinebend_transport.idle_limit import IdleLimit
from tests.unit.transport.loopback import GET, connect, read_until, serving
from tests.unit.transport.test_http_server import echo

NOW = 100.0
LONG = 5.0
SHORT = 0.05
HEAD_END = b"\r\n\r\n"


def limit_of(seconds: float) -> IdleLimit:
    """Return a limit that callers know."""
    limit = IdleLimit(1.0)
    limit.change(seconds, NOW - 60.0)
    return limit


def test_a_first_change_holds_at_once() -> None:
    limit = IdleLimit(75.0)
    limit.change(15.0, NOW)
    assert limit.at(NOW) == 15.0


def test_a_longer_limit_holds_at_once() -> None:
    limit = limit_of(5.0)
    limit.change(15.0, NOW)
    assert limit.at(NOW) == 15.0


def test_a_shorter_limit_holds_after_the_time_of_the_earlier_one() -> None:
    limit = limit_of(15.0)
    limit.change(5.0, NOW)
    assert limit.at(NOW + 14.9) == 15.0
    assert limit.at(NOW + 15.0) == 5.0


def test_further_changes_do_not_prolong_an_earlier_limit() -> None:
    limit = limit_of(15.0)
    limit.change(5.0, NOW)
    limit.change(3.0, NOW + 12.0)
    assert limit.at(NOW + 12.0) == 15.0
    assert limit.at(NOW + 16.0) == 5.0
    assert limit.at(NOW + 17.0) == 3.0
    limit.change(2.0, NOW + 20.0)
    assert len(limit.earlier) == 1


async def test_a_caller_that_goes_by_the_earlier_limit_is_answered() -> None:
    """Guards against connections that end before their callers expect it."""
    async with serving(echo) as server:
        server.change_limits(ServerLimits(idle_timeout=LONG))
        reader, writer = await connect(server.port)
        writer.write(GET)
        await read_until(reader, HEAD_END)
        server.change_limits(server.limits._replace(idle_timeout=SHORT))
        for _ in range(2):
            writer.write(GET)
            await read_until(reader, HEAD_END)
            await sleep(4 * SHORT)
        writer.write(GET)
        assert (await read_until(reader, HEAD_END)).startswith(b"HTTP/1.1 200 ")
        writer.close()
