"""A connection to another process, kept up; it owns its socket."""

from asyncio import Event, Timeout, get_running_loop, sleep, timeout
from collections.abc import Callable
from logging import getLogger

from expression import Result

from clementinebend_entry.backoff import connect_delay
from clementinebend_records.messages import Hello, Message
from clementinebend_transport.late_waits import late_waits
from clementinebend_transport.message_stream import MessageStream, connect_messages

CONNECT_TIMEOUT_S = 2.0
HELLO_TIMEOUT_S = 5.0
TIMER_SLACK = 0.2
"""Share of the silence allowed by which it may be cut short."""

logger = getLogger(__name__)

MakeHello = Callable[[], Hello]


class MessageLink:
    """Connects to one process for as long as its task runs.

    ``peer`` is what the other side said last, also after the connection has
    ended; ``up`` is set while there is one. A connection on which nothing
    comes for ``silence`` seconds is given up; None waits for ever.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        hello: MakeHello,
        silence: float | None = None,
    ) -> None:
        self.name = name
        self.host = host
        self.port = port
        self.own_hello = hello
        self.silence = silence
        self.stream: MessageStream | None = None
        self.peer: Hello | None = None
        self.up = Event()

    async def run(self) -> None:
        """Connect, and connect again, for ever."""
        failures = 0
        try:
            while True:
                if await self.connect():
                    failures = 0
                    await self.receive_all()
                    self.lose()
                failures += 1
                await sleep(connect_delay(failures, self.name))
        finally:
            await self.end()

    async def connect(self) -> bool:
        """Open the connection and exchange ``Hello``; return whether it is up."""
        answer = await connect_messages(self.host, self.port, CONNECT_TIMEOUT_S)
        match answer:
            case Result(tag="ok", ok=stream):
                return await self.greet(stream)
            case _:
                return False

    async def greet(self, stream: MessageStream) -> bool:
        """Exchange ``Hello`` on a new connection."""
        stream.post(self.own_hello())
        try:
            hello = await stream.receive_within(HELLO_TIMEOUT_S)
        except TimeoutError:
            hello = None
        if not isinstance(hello, Hello):
            await stream.close()
            return False
        self.stream = stream
        self.greeted(hello)
        return True

    async def receive_all(self) -> None:
        """Take messages until the connection ends."""
        stream = self.stream
        if stream is None:
            return
        while await self.receive_until_silent(stream):
            if not await stream.has_next():
                logger.warning("%s is silent, its connection is given up", self.name)
                break
            late_waits.inc()
        await stream.close()

    async def receive_until_silent(self, stream: MessageStream) -> bool:
        """Process messages; true if the peer falls silent, false if the stream ends."""
        try:
            async with timeout(self.silence) as limit:
                while (message := await stream.receive()) is not None:
                    self.extend(limit)
                    self.take(message)
        except TimeoutError:
            return True
        return False

    def extend(self, limit: Timeout) -> None:
        """Let the connection be silent again for its whole time.

        The timer is moved seldom, since messages may be many.
        """
        end = limit.when()
        if end is None or self.silence is None:
            return
        wanted = get_running_loop().time() + self.silence
        if wanted - end > self.silence * TIMER_SLACK:
            limit.reschedule(wanted)

    def greeted(self, hello: Hello) -> None:
        """Take the other side's ``Hello``."""
        self.peer = hello
        self.up.set()

    def lose(self) -> None:
        """Take the end of the connection."""
        self.stream = None
        self.up.clear()

    async def end(self) -> None:
        """Close the connection for good."""
        stream = self.stream
        if stream is not None:
            self.lose()
            await stream.close()

    def post(self, message: Message) -> bool:
        """Send without waiting; false if the connection is down."""
        if self.stream is None or self.stream.is_closed:
            return False
        self.stream.post(message)
        return True

    def take(self, message: Message) -> None:
        """Take one message."""
        if isinstance(message, Hello):
            self.greeted(message)
