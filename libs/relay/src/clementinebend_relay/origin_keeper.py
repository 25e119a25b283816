"""Keeps origins of streams for entries, and tells them to those that ask."""

from collections.abc import Callable
from math import isfinite

from clementinebend_relay.messages import Message
from clementinebend_relay.origin_messages import (
    OriginAnswerMessage,
    OriginRequestMessage,
    OriginsMessage,
    ReportedOrigin,
)
from clementinebend_relay.stream_origins import (
    KnownOrigin,
    OriginTable,
    StreamKey,
    StreamOrigin,
)
from clementinebend_transport.client_connection import Address


class OriginKeeper:
    """The origins that one boot of a process has been told."""

    def __init__(
        self,
        boot: str,
        send: Callable[[Message, Address], None],
        clock: Callable[[], float],
    ) -> None:
        self.boot = boot
        self.send = send
        self.clock = clock
        self.table = OriginTable(clock)

    def on_message(
        self, message: OriginsMessage | OriginRequestMessage, sender: Address
    ) -> None:
        """Keep reported origins, or answer a question."""
        match message:
            case OriginsMessage():
                for report in message.origins:
                    self._keep(report, message.boot)
            case OriginRequestMessage():
                self._answer(message, sender)

    def report(self, key: StreamKey) -> ReportedOrigin | None:
        """Return what is told of a stream, None if nothing is known for certain."""
        known = self.table.get(key)
        if known is None or known.origin is None:
            return None
        now = self.clock()
        return ReportedOrigin(*key, *known.origin, known.until - now, now - known.since)

    def _keep(self, report: ReportedOrigin, source: str) -> None:
        if not isfinite(report.seconds_left):
            return
        key = StreamKey(report.team, report.request_id)
        origin = StreamOrigin(report.service, report.software_version)
        self.table.put(key, origin, report.seconds_left, source)

    def _answer(self, message: OriginRequestMessage, sender: Address) -> None:
        report = self.report(StreamKey(message.team, message.request_id))
        self.send(OriginAnswerMessage(self.boot, message.number, report), sender)


def known_origin(report: ReportedOrigin, source: str, now: float) -> KnownOrigin:
    """Return what a report says, as of now."""
    origin = StreamOrigin(report.service, report.software_version)
    return KnownOrigin(origin, now - report.age, now + report.seconds_left, source)
