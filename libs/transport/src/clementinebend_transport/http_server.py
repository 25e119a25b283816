"""An HTTP/1.1 server that ends in order.

Each connection is owned by one task; see ``http_connection``.
"""

from asyncio import (
    Server,
    Task,
    create_task,
    current_task,
    get_running_loop,
    sleep,
    wait,
)
from logging import getLogger
from math import ceil
from select import POLLIN, poll

from clementinebend_transport.body_room import RequestBodies, unlimited_bodies
from clementinebend_transport.caller_channel import CallerChannel
from clementinebend_transport.channel import Channel
from clementinebend_transport.connection_ends import EndReason, on_refused
from clementinebend_transport.early_binding import (
    BACKLOG,
    prepare_listening,
    take_bound,
)
from clementinebend_transport.http_connection import (
    CLOSE_SECONDS,
    DRAIN_GRACE_SECONDS,
    HttpConnection,
    linger,
)
from clementinebend_transport.http_types import (
    Handler,
    Identify,
    Request,
    Response,
    ServerLimits,
    error_response,
    no_id,
)
from clementinebend_transport.idle_limit import IdleLimit
from clementinebend_transport.late_waits import ANSWER_ITERATIONS
from clementinebend_transport.metrics import counter
from clementinebend_transport.room import GRACE_SECONDS

__all__ = [
    "Handler",
    "HttpServer",
    "Request",
    "Response",
    "ServerLimits",
    "error_response",
    "serve_http",
]

logger = getLogger(__name__)

ACCEPT_PASSES = 4
"""Event loop iterations that a connection takes from its accept to its task."""

ACCEPTS_PER_ITERATION = 16
"""Most connections that are accepted at once: so many may exceed the limit until they
are refused, each with a descriptor."""

MAX_REFUSALS = 64
"""Most refused connections that stay open until their answer has been taken."""

DEFAULT_LIMITS = ServerLimits()

TOO_MANY_BODY = (
    b'{"error":{"type":"not_run","reason":"overloaded",'
    b'"message":"too many connections; retry later"}}'
)
TOO_MANY = (
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 1\r\n"
    b"content-type: application/json\r\ncontent-length: %d\r\n\r\n%b"
) % (len(TOO_MANY_BODY), TOO_MANY_BODY)
"""The answer on a connection above the limit, before anything is read."""

_refused = counter(
    "clementinebend_http_connections_refused_total",
    "Connections refused because there were too many.",
)


class HttpServer:
    """A listening server; ``drain`` ends it in order, ``close`` at once."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        identify: Identify = no_id,
        bodies: RequestBodies | None = None,
    ) -> None:
        self.bodies = bodies or unlimited_bodies()
        self.handler = handler
        self.limits = limits
        self.idle_limit = IdleLimit(limits.idle_timeout)
        self.identify = identify
        self.host = ""
        self.port = 0
        self.listener: Server | None = None
        self.connections: dict[Task[None], HttpConnection] = {}
        self.refusals: set[Task[None]] = set()
        self.is_draining = False
        self.is_moving = False

    def announce_end(self) -> None:
        """Have each answer from now on tell its caller to connect anew.

        New connections are still taken.
        """
        self.is_draining = True
        for connection in self.connections.values():
            connection.is_draining = True

    def move_callers(self, is_moving: bool) -> None:
        """Have each answer tell its caller to connect anew, or no longer do so.

        Connections stay open until their next answer, and new ones are taken.
        """
        self.is_moving = is_moving
        for connection in self.connections.values():
            connection.is_moving = is_moving

    def close_idle(self, share: float, min_idle: float) -> int:
        """Close a share of the connections that are idle; return their number.

        Those that were idle longest are closed first, and none that was idle for less
        than ``min_idle`` seconds, has received a part of a request or has had no answer
        yet: its first request is on its way.
        """
        idle_since = get_running_loop().time() - min_idle
        idle = [
            connection
            for connection in self.connections.values()
            if connection.idle_since <= idle_since and connection.is_idle()
        ]
        idle.sort(key=lambda connection: connection.idle_since)
        closing = [
            connection
            for connection in idle[: ceil(share * len(idle))]
            if connection.may_close()
        ]
        for connection in closing:
            connection.close_quiet(EndReason.LEFT_ROTATION)
        return len(closing)

    def change_limits(self, limits: ServerLimits) -> None:
        """Hold connections to ``limits`` from their next request on.

        A longer idle limit holds at once, a shorter one as ``IdleLimit`` says.
        """
        self.limits = limits
        self.idle_limit.change(limits.idle_timeout, get_running_loop().time())
        for connection in self.connections.values():
            connection.change_limits(limits)

    async def drain(self, timeout: float) -> bool:
        """Stop accepting, and let requests in progress end whole.

        Waits at most ``timeout`` seconds; returns whether all ended, but for
        connections that linger after their last answer.
        """
        loop = get_running_loop()
        deadline = loop.time() + timeout
        await self._stop_listening()
        self.announce_end()
        grace = min(DRAIN_GRACE_SECONDS, timeout / 2)
        while self.connections and (left := deadline - loop.time()) > 0:
            await wait(tuple(self.connections), timeout=min(grace, left))
            self._end_connections()
        await self._send_arrived_answers()
        return all(each.is_lingering for each in self.connections.values())

    async def _send_arrived_answers(self) -> None:
        """Let requests in progress end whose answers a late iteration has received."""
        for _ in range(ANSWER_ITERATIONS):
            if not self.connections:
                return
            await sleep(0)

    async def close(self) -> None:
        """Stop at once: requests in progress are cancelled.

        Those without a partial answer get a response that their outcome is unknown;
        other answers are cut off.
        """
        await self._stop_listening()
        tasks = (*self.connections, *self.refusals)
        for connection in self.connections.values():
            connection.close_now()
        for task in tasks:
            task.cancel()
        if tasks:
            await wait(tasks, timeout=CLOSE_SECONDS)
        for connection in self.connections.values():
            connection.abort(EndReason.PROCESS_CLOSING)
        if tasks:
            await wait(tasks)

    async def _stop_listening(self) -> None:
        """Take in the connections that are already made, and no more.

        The listener is closed only after its accepted connections are set up:
        asyncio drops those that are half set up then.
        """
        if self.listener is None:
            return
        listener, self.listener = self.listener, None
        await _pass_loop()
        for _ in range(BACKLOG // ACCEPTS_PER_ITERATION):
            if not any(_has_arrivals(socket.fileno()) for socket in listener.sockets):
                break
            await sleep(0)
        for socket in listener.sockets:
            get_running_loop().remove_reader(socket.fileno())
        await _pass_loop()
        listener.close()

    def _end_connections(self) -> None:
        """Close idle connections, and busy ones after their current answer.

        The head of that answer may have gone out before the stop began: its caller
        expects it to stay open. A request that arrives after that is rejected.
        """
        for connection in self.connections.values():
            if connection.request is not None:
                connection.is_last = True
            elif connection.may_close():
                connection.close_quiet(EndReason.PLANNED_STOP)

    def _on_connected(self, channel: Channel) -> None:
        assert isinstance(channel, CallerChannel)
        if not self._has_place():
            self._refuse(channel)
            return
        connection = HttpConnection(
            channel,
            self.handler,
            self.limits,
            self.idle_limit,
            self.identify,
            self.bodies,
        )
        connection.is_draining = self.is_draining
        connection.is_moving = self.is_moving
        task = create_task(_serve(connection))
        self.connections[task] = connection
        task.add_done_callback(self._on_done)

    def _has_place(self) -> bool:
        """Return whether one more connection may be taken, closing another if needed.

        Of those that wait for a request, the one that has waited for longest is closed;
        first those that have had their last answer, then those without any.
        """
        if len(self.connections) < self.limits.max_connections:
            return True
        latest = get_running_loop().time() - GRACE_SECONDS
        open_ones = [each for each in self.connections.values() if not each.has_ended()]
        if len(open_ones) < self.limits.max_connections:
            return True
        waiting = [each for each in open_ones if each.may_give_way(latest)]
        if not waiting:
            return False
        min(waiting, key=HttpConnection.place).abort(EndReason.TOO_MANY)
        return True

    def _on_done(self, task: Task[None]) -> None:
        del self.connections[task]
        if not task.cancelled() and task.exception() is not None:
            logger.error("connection failed", exc_info=task.exception())

    def _refuse(self, channel: Channel) -> None:
        _refused.inc()
        on_refused()
        if len(self.refusals) >= MAX_REFUSALS:
            channel.abort()
            return
        task = create_task(_send_refusal(channel))
        self.refusals.add(task)
        task.add_done_callback(self.refusals.discard)


async def serve_http(
    handler: Handler,
    host: str,
    port: int,
    limits: ServerLimits = DEFAULT_LIMITS,
    identify: Identify = no_id,
    bodies: RequestBodies | None = None,
) -> HttpServer:
    """Listen on ``host`` and ``port`` (0: a free one) and answer by ``handler``.

    ``identify`` names requests in log lines. ``bodies`` bounds the bodies of all
    requests together; without it they are not bounded.
    A port that ``bind_early`` holds is taken over, with the connections that
    wait there. Raises ``OSError`` if the address cannot be bound.
    """
    server = HttpServer(handler, limits, identify, bodies)
    loop = get_running_loop()

    def connected() -> CallerChannel:
        return CallerChannel(server.bodies.received, server._on_connected)

    bound = take_bound(host, port)
    backlog = ACCEPTS_PER_ITERATION
    if bound is None:
        listener = await loop.create_server(connected, host, port, backlog=backlog)
    else:
        listener = await loop.create_server(connected, sock=bound, backlog=backlog)
    for each in listener.sockets:
        prepare_listening(each.fileno())
    server.listener = listener
    server.host, server.port = listener.sockets[0].getsockname()[:2]
    return server


def _has_arrivals(listening: int) -> bool:
    """Return whether connections wait to be accepted at a descriptor."""
    poller = poll()
    poller.register(listening, POLLIN)
    return bool(poller.poll(0))


async def _pass_loop() -> None:
    for _ in range(ACCEPT_PASSES):
        await sleep(0)


async def _serve(connection: HttpConnection) -> None:
    task = current_task()
    assert task is not None
    await connection.serve(task)


async def _send_refusal(channel: Channel) -> None:
    channel.post(TOO_MANY)
    await linger(channel)
    channel.abort()
