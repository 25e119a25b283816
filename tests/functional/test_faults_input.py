"""Bad input of a new user: typed errors, no traceback, and service goes on."""

from collections.abc import AsyncIterator
from json import dumps
from typing import Any

import pytest
import pytest_asyncio

from clementinebend_transport.message_stream import connect_messages
from tests.lib.books import books_of, until_balanced
from tests.lib.cluster_files import PLAIN_PATH, TEAM_KEY, Plan
from tests.lib.clusters import CHAT_PATH, Cluster, chat, running_cluster
from tests.lib.processes import LOCALHOST
from tests.lib.questions import ask, check_whole, questions
from tests.lib.raw_calls import RawAnswer, request_head, send_bytes, send_raw

pytestmark = pytest.mark.asyncio(loop_scope="module")

BEARER = f"authorization: Bearer {TEAM_KEY}"
PLAN = Plan(
    entries=1,
    engines=1,
    zones=("zone-a",),
    entry_settings={"header_timeout_s": 1.0, "body_timeout_s": 1.0},
)
GOOD: dict[str, Any] = chat("Je otvorené?", 5)
TOO_LARGE = 8 * 1_048_576
ABOVE_DECLARED = 1_048_577

BAD_BODIES: dict[str, tuple[bytes, str]] = {
    "no JSON": (b"{", "body"),
    "empty": (b"", "body"),
    "a list": (b"[]", "body"),
    "invalid UTF-8": (b'{"model": "\xc3\x28"}', "body"),
    "a lone surrogate": (b'{"model": "\\ud800"}', "messages"),
    "deep nesting": (b"[" * 100_000, "body"),
    "a huge number": (b'{"max_tokens": ' + b"9" * 5_000 + b"}", "body"),
    "no model": (dumps({**GOOD, "model": None}).encode(), "model"),
    "no messages": (dumps({**GOOD, "messages": []}).encode(), "messages"),
    "messages of no objects": (dumps({**GOOD, "messages": [1]}).encode(), "messages"),
    "negative tokens": (dumps({**GOOD, "max_tokens": -1}).encode(), "max_tokens"),
    "no tokens": (dumps({**GOOD, "max_tokens": 0}).encode(), "max_tokens"),
    "half a token": (dumps({**GOOD, "max_tokens": 1.5}).encode(), "max_tokens"),
    "huge tokens": (dumps({**GOOD, "max_tokens": 10**12}).encode(), "max_tokens"),
    "tokens as text": (dumps({**GOOD, "max_tokens": "5"}).encode(), "max_tokens"),
    "above the service": (dumps({**GOOD, "max_tokens": 9_999}).encode(), "max_tokens"),
    "many answers": (dumps({**GOOD, "n": 2}).encode(), "n"),
    "stream as text": (dumps({**GOOD, "stream": "yes"}).encode(), "stream"),
}

BAD_HEADERS: dict[str, tuple[dict[str, str], int, str]] = {
    "unknown key": ({"authorization": "Bearer nobody"}, 401, "authorization"),
    "no scheme": ({"authorization": TEAM_KEY}, 401, "authorization"),
    "text as deadline": ({"x-deadline-ms": "soon"}, 400, "x-deadline-ms"),
    "no time": ({"x-deadline-ms": "0"}, 400, "x-deadline-ms"),
    "high priority": ({"x-priority": "10"}, 400, "x-priority"),
    "another's budget": ({"x-budget": "budget-9"}, 400, "x-budget"),
    "long key": ({"idempotency-key": "k" * 300}, 400, "idempotency-key"),
}

CHUNKED = ("transfer-encoding: chunked", BEARER)

RAW: dict[str, tuple[bytes, bool, set[int]]] = {
    "no HTTP": (b"hello\r\n\r\n", False, {400}),
    "binary": (bytes(range(256)) * 4, True, {400}),
    "no version": (b"GET /healthz\r\n\r\n", False, {400}),
    "malformed chunk": (
        request_head("POST", CHAT_PATH, *CHUNKED) + b"zz\r\nabc\r\n",
        False,
        {400},
    ),
    "half a chunk": (
        request_head("POST", CHAT_PATH, *CHUNKED) + b"a\r\nabc",
        True,
        {400, 0},
    ),
    "half a body": (
        request_head("POST", CHAT_PATH, BEARER, "content-length: 100") + b"{",
        True,
        {400, 0},
    ),
    "half a head": (b"POST /v1/chat/comp", True, {400, 0}),
    "a body that never comes": (
        request_head("POST", CHAT_PATH, BEARER, "content-length: 100"),
        False,
        {408},
    ),
    "a head that never ends": (b"POST / HTTP/1.1\r\nhost: a\r\n", False, {408, 0}),
    "two lengths": (
        request_head("POST", CHAT_PATH, "content-length: 1", "content-length: 2"),
        False,
        {400},
    ),
    "negative length": (
        request_head("POST", CHAT_PATH, BEARER, "content-length: -5"),
        False,
        {400},
    ),
    "oversize length": (
        request_head("POST", CHAT_PATH, BEARER, f"content-length: {TOO_LARGE}"),
        False,
        {413},
    ),
    "oversize head": (
        request_head("GET", "/healthz", "x-long: " + "x" * 40_000),
        False,
        {431},
    ),
}


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def cluster(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Cluster]:
    async with running_cluster(tmp_path_factory.mktemp("input"), PLAN) as started:
        yield started


@pytest_asyncio.fixture(autouse=True, loop_scope="module")
async def serves_on(
    cluster: Cluster, request: pytest.FixtureRequest
) -> AsyncIterator[None]:
    """Check that nothing ran, nobody traced back, and a good request is served."""
    before = await books_of(cluster)
    yield
    assert len((await books_of(cluster)).costs) == len(before.costs)
    (good,) = questions(f"after {request.node.name}", 1, 5)
    keyless = good._replace(key="")
    check_whole(await ask(cluster, "entry-1", keyless), keyless)
    await until_balanced(cluster, len(before.bills) + 1)
    for process in cluster.running.values():
        assert process.handle.poll() is None, process.name
        assert "Traceback" not in process.log_text(), process.log_text()


@pytest.mark.parametrize("name", BAD_BODIES)
async def test_a_bad_body_is_told_by_its_field(cluster: Cluster, name: str) -> None:
    body, field = BAD_BODIES[name]
    told = await cluster.call("entry-1", "POST", CHAT_PATH, body)
    assert told.status == 400, told
    error = told.json()["error"]
    assert (error["type"], error["field"]) == ("bad_request", field), error
    assert error["message"]


@pytest.mark.parametrize("name", BAD_HEADERS)
async def test_a_bad_header_is_told_by_its_name(cluster: Cluster, name: str) -> None:
    headers, status, field = BAD_HEADERS[name]
    told = await cluster.call("entry-1", "POST", CHAT_PATH, GOOD, headers)
    error = told.json()["error"]
    assert (told.status, error["type"]) == (status, "bad_request"), told
    assert error["field"] == field


@pytest.mark.parametrize("name", RAW)
async def test_what_is_no_request_gets_a_typed_error(
    cluster: Cluster, name: str
) -> None:
    data, half, statuses = RAW[name]
    told = await send_raw(cluster.running["entry-1"].port, data, half=half)
    assert told.status in statuses, told
    check_typed(told)


async def test_paths_methods_and_models_that_are_not_there(cluster: Cluster) -> None:
    missing = await cluster.call("entry-1", "POST", "/nowhere", b"")
    assert (missing.status, missing.json()["error"]["field"]) == (404, "path")
    wrong = await cluster.call("entry-1", "GET", CHAT_PATH)
    assert (wrong.status, wrong.json()["error"]["field"]) == (405, "method")
    unknown = await cluster.call("entry-1", "POST", CHAT_PATH, {**GOOD, "model": "m"})
    assert (unknown.status, unknown.json()["error"]["field"]) == (404, "model")


async def test_an_oversize_body_is_refused_whatever_its_service(
    cluster: Cluster,
) -> None:
    large = b"x" * ABOVE_DECLARED
    for path in (CHAT_PATH, PLAIN_PATH):
        told = await send_raw(
            cluster.running["entry-1"].port,
            request_head("POST", path, BEARER, f"content-length: {len(large)}"),
            large,
        )
        assert told.status == 413, told
        check_typed(told)


async def test_bytes_that_are_no_messages_end_only_their_connection(
    cluster: Cluster,
) -> None:
    ports = (
        cluster.entries["entry-1"].peer_port,
        cluster.endpoints["engine-1"].port,
        cluster.endpoints["service-1"].port,
    )
    for port in ports:
        for data in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 1_000, b"\x93\x01"):
            await send_bytes(port, data, half=True)
        opened = await connect_messages(LOCALHOST, port, 5.0)
        assert opened.is_ok(), opened
        await opened.ok.close()


def check_typed(told: RawAnswer) -> None:
    """Check that an answer, if there is one, is a typed error."""
    if told.status:
        error = told.error()
        assert error["type"] == "bad_request", error
        assert error["message"]
