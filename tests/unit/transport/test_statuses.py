"""Statuses that are none: no answer, as the server is in trouble.

Source: RFC 9110, section 15: valid statuses are 100 to 599.
"""

import pytest

from clementinebend_transport.http_client import HttpClient
from tests.unit.transport.loopback import HOST, scripted
from tests.unit.transport.test_http_client import answers

BODY = b"content-length: 2\r\n\r\nok"


async def outcome(status: str) -> tuple[int | None, bool]:
    """Return the status of the answer, None without one, and if it was broken."""
    client = HttpClient()
    try:
        async with scripted(answers(f"HTTP/1.1 {status}\r\n".encode() + BODY)) as port:
            result = await client.request("GET", f"http://{HOST}:{port}/")
    finally:
        await client.close()
    if result.is_ok():
        return result.ok.status, False
    return None, result.error.broke_off


@pytest.mark.parametrize(
    "status",
    ["000 ", "000", "099 Low", "600 High", "999 Trouble", "20 Short", "0200 Long", "x"],
)
async def test_a_status_that_is_none_is_a_broken_answer(status: str) -> None:
    assert await outcome(status) == (None, True)


@pytest.mark.parametrize("status", ["200 OK", "299", "404 No", "500 Bad", "599 Last"])
async def test_a_valid_status_is_an_answer(status: str) -> None:
    assert await outcome(status) == (int(status[:3]), False)
