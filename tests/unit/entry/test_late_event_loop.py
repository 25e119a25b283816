"""Messages and events that come while the event loop is late, with a timeout."""

from asyncio import Event, Task, create_task, gather, get_running_loop, sleep
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from logging import WARNING
from types import SimpleNamespace
from typing import cast

import pytest

from clementinebend_entry import attachment, message_link
from clementinebend_entry.answer_output import AnswerOutput
from clementinebend_entry.attachment import wait_until_up
from clementinebend_entry.following import Follower
from clementinebend_entry.ledger import Ledger
from clementinebend_entry.message_link import MessageLink
from clementinebend_entry.peer_link import PeerLink
from clementinebend_entry.run_results import SidecarUnreachable
from clementinebend_entry.settings import Peer
from clementinebend_entry.sidecar_link import SidecarLink
from clementinebend_records.codec import SCHEMA_VERSION
from clementinebend_records.identifiers import Incarnation, RequestKey, new_run_id
from clementinebend_records.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Hello,
    RunAttach,
)
from clementinebend_transport.message_stream import (
    MessageServer,
    MessageStream,
    serve_messages,
)
from tests.unit.transport.loopback import HOST, PATIENCE, delay_event_loop, until

LIMIT_SECONDS = 0.3
LATE_SECONDS = 2 * LIMIT_SECONDS
"""How long one iteration of the event loop takes."""

INCARNATION = Incarnation("entry-2#1")
HELLO = Hello("entry", "entry-2", INCARNATION, "zone-a", SCHEMA_VERSION, 1)
QUESTION = ConfigurationRequest(0)


class Other:
    """The other side of a link; its streams send only what a test posts."""

    def __init__(self) -> None:
        self.streams: list[MessageStream] = []
        self.server: MessageServer

    async def serve(self, stream: MessageStream) -> None:
        """Keep a stream, and read what comes."""
        self.streams.append(stream)
        while await stream.receive() is not None:
            pass

    def post(self, message: Hello | ConfigurationReply) -> None:
        """Send a message at once over the latest stream."""
        channel = self.streams[-1].channel
        self.streams[-1].post(message)
        channel.flush()


@asynccontextmanager
async def listening() -> AsyncIterator[Other]:
    other = Other()
    other.server = await serve_messages(other.serve, HOST, 0)
    try:
        yield other
    finally:
        await other.server.close()


@asynccontextmanager
async def running(link: MessageLink) -> AsyncIterator[None]:
    task = create_task(link.run())
    try:
        yield
    finally:
        task.cancel()
        await gather(task, return_exceptions=True)


def new_peer_link(other: Other, silence: float = PATIENCE) -> PeerLink:
    peer = Peer("entry-2", "zone-a", HOST, other.server.port)
    return PeerLink(peer, lambda: HELLO, lambda news: None, silence)


async def link_up(link: MessageLink, other: Other) -> None:
    """Wait until a link that is running is up."""
    await until(lambda: bool(other.streams))
    other.post(HELLO)
    await until(link.up.is_set)


async def begin(task: Task[object]) -> None:
    """Let a task run until it waits."""
    await sleep(0)
    assert not task.done()


async def test_an_answer_that_arrives_in_a_late_iteration_is_used() -> None:
    """Guards against a peer's answer that is here, and dropped."""
    async with listening() as other:
        link = new_peer_link(other)
        async with running(link):
            await link_up(link, other)
            asking = create_task(link.ask(QUESTION, LIMIT_SECONDS))
            await begin(asking)
            (number,) = link.waiting
            answer = ConfigurationReply(number, 1, b"")
            other.post(answer)
            delay_event_loop(LATE_SECONDS)
            assert await asking == answer
    assert not link.waiting


async def test_a_question_without_an_answer_is_given_up() -> None:
    async with listening() as other:
        link = new_peer_link(other)
        async with running(link):
            await link_up(link, other)
            assert await link.ask(QUESTION, LIMIT_SECONDS) is None
    assert not link.waiting


async def test_a_hello_that_arrives_in_a_late_iteration_is_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection that is closed although its Hello is here."""
    monkeypatch.setattr(message_link, "HELLO_TIMEOUT_S", LIMIT_SECONDS)
    async with listening() as other:
        link = MessageLink("entry-2", HOST, other.server.port, lambda: HELLO)
        connecting = create_task(link.connect())
        await until(lambda: bool(other.streams))
        other.post(HELLO)
        delay_event_loop(LATE_SECONDS)
        assert await connecting
        assert link.peer == HELLO
        await link.end()


async def test_a_link_whose_message_arrives_in_a_late_iteration_is_kept(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a link taken for silent with a message in its socket."""
    async with listening() as other:
        link = new_peer_link(other, LIMIT_SECONDS)
        async with running(link):
            await link_up(link, other)
            other.post(HELLO._replace(revision=2))
            with caplog.at_level(WARNING):
                delay_event_loop(LATE_SECONDS)
                await until(lambda: link.peer == HELLO._replace(revision=2))
            assert not caplog.records
            assert link.up.is_set()
            assert len(other.streams) == 1


async def test_a_silent_link_is_given_up_after_a_late_iteration(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with listening() as other:
        link = new_peer_link(other, LIMIT_SECONDS)
        async with running(link):
            await link_up(link, other)
            with caplog.at_level(WARNING):
                delay_event_loop(LATE_SECONDS)
                await until(lambda: not link.up.is_set())
    assert "is silent" in caplog.text


async def test_a_connection_of_messages_that_stands_in_a_late_iteration_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that listens, and is taken for out of reach."""
    monkeypatch.setattr(message_link, "CONNECT_TIMEOUT_S", LIMIT_SECONDS)
    async with listening() as other:
        link = MessageLink("entry-2", HOST, other.server.port, lambda: HELLO)
        connecting = create_task(link.connect())
        await begin(connecting)
        delay_event_loop(LATE_SECONDS)
        await until(lambda: bool(other.streams) or connecting.done())
        other.post(HELLO)
        assert await connecting
        await link.end()


def link_with(up: Event) -> SidecarLink:
    """Return what a follower uses of a link to a sidecar."""
    link = SimpleNamespace(up=up, peer=HELLO, post=lambda message: None)
    return cast(SidecarLink, link)


async def test_a_run_whose_link_is_up_in_a_late_iteration_is_followed() -> None:
    """Guards against a sidecar that is connected, and taken for out of reach."""
    up = Event()
    output = cast(AnswerOutput, SimpleNamespace(rewind=lambda: None))
    opening = RunAttach(new_run_id(), RequestKey("key"), "digest")
    follower = Follower(link_with(up), INCARNATION, opening, 0.0, output)
    reopening = create_task(follower.reopen(LIMIT_SECONDS))
    await begin(reopening)
    get_running_loop().call_later(LIMIT_SECONDS / 2, up.set)
    delay_event_loop(LATE_SECONDS)
    assert await reopening is None


async def test_a_run_whose_link_stays_down_is_given_up() -> None:
    output = cast(AnswerOutput, SimpleNamespace(rewind=lambda: None))
    opening = RunAttach(new_run_id(), RequestKey("key"), "digest")
    follower = Follower(link_with(Event()), INCARNATION, opening, 0.0, output)
    assert await follower.reopen(LIMIT_SECONDS) == SidecarUnreachable()


async def test_a_link_that_is_up_in_a_late_iteration_is_attached_to(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a retried call that misses the run of its key."""
    monkeypatch.setattr(attachment, "LINK_TIMEOUT_S", LIMIT_SECONDS)
    up = Event()
    deadline = get_running_loop().time() + PATIENCE
    waiting = create_task(wait_until_up(link_with(up), deadline))
    await begin(waiting)
    get_running_loop().call_later(LIMIT_SECONDS / 2, up.set)
    delay_event_loop(LATE_SECONDS)
    assert await waiting


async def test_a_log_read_on_in_a_late_iteration_is_noticed() -> None:
    """Guards against a call refused for a scope that has been read."""
    ledger = cast(Ledger, SimpleNamespace(changed=Event(), loop=get_running_loop()))
    deadline = get_running_loop().time() + LIMIT_SECONDS
    waiting = create_task(Ledger.until_changed(ledger, deadline))
    await begin(waiting)
    get_running_loop().call_later(LIMIT_SECONDS / 2, ledger.changed.set)
    delay_event_loop(LATE_SECONDS)
    assert await waiting
