"""What both sides of an HTTP connection do with ``h11`` and a channel."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from h11 import DONE, NEED_DATA, Connection, Data, Event

from clementinebend_transport.channel import Channel
from clementinebend_transport.exceptions import TruncatedAnswer

MAX_SMALL_PIECES = 2048
LEAST_PIECE_BYTES = 8
"""Maximum number of chunks of a body whose mean size in bytes is below the minimum."""


def post_event(parser: Connection, channel: Channel, event: Event) -> None:
    """Send the bytes of ``event``."""
    for data in parser.send_with_data_passthrough(event) or ():
        channel.post(data)


async def next_event(
    parser: Connection,
    channel: Channel,
    until: float | None = None,
    on_read: Callable[[int], None] | None = None,
) -> object:
    """Return the next event, or a state of the parser that ends the reading.

    Raises ``h11.RemoteProtocolError`` on wrong input, ``TruncatedAnswer`` if the
    connection failed, which is no proper end of a body without length, and
    ``TimeoutError`` if more bytes are needed than have come by ``until``, in the time
    of the event loop. ``on_read`` is called with the number of bytes that have come,
    before they are parsed; its exceptions are propagated.
    """
    while (event := parser.next_event()) is NEED_DATA:
        unparsed = len(parser.trailing_data[0])
        channel.set_parsing(unparsed)
        data = await channel.read(until)
        channel.set_parsing(unparsed + len(data))
        if on_read is not None:
            on_read(len(data))
        if not data and channel.failure is not None:
            raise TruncatedAnswer(f"the connection failed: {channel.failure}")
        parser.receive_data(data)
    if isinstance(event, Data):
        channel.set_parsing(max(0, channel.parsing_bytes - len(event.data)))
    return event


def has_too_many_pieces(pieces: int, size: int) -> bool:
    """Return whether a body of ``size`` bytes comes in too many small pieces.

    Each piece takes processor time, however small it is.
    """
    return size < (pieces - MAX_SMALL_PIECES) * LEAST_PIECE_BYTES


def is_cycle_done(parser: Connection) -> bool:
    """Return whether the connection may carry another request."""
    return all(state is DONE for state in parser.states.values())


def headers_by_name(pairs: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return headers by lower-case name; values of a repeated one are joined."""
    values: defaultdict[str, list[str]] = defaultdict(list)
    for raw_name, raw_value in pairs:
        values[raw_name.decode("latin-1").lower()].append(raw_value.decode("latin-1"))
    return {name: ", ".join(named) for name, named in values.items()}
