"""A stand-in of the platform's store, by its published protocol."""

from asyncio import Event, get_running_loop, sleep, timeout
from base64 import b64encode
from collections import defaultdict
from contextlib import suppress
from urllib.parse import parse_qsl, urlsplit

from msgspec.json import encode

from clementinebend_platform.store import PAGE_HEADER, RECORD_LENGTH
from clementinebend_platform.store import encode_record as encoded_record
from clementinebend_transport.http_server import HttpServer, serve_http
from clementinebend_transport.http_types import Request, Response

PAGE_KEYS = 500
"""The most keys of one answer with the newest records."""


class StoreStandin:
    """Keyed topics in memory; ``fault`` says how calls fare.

    ``fault`` is ``""``, ``"busy"`` (503), ``"silent"`` (no answer), ``"lost"``
    (done, no answer), ``"slow"`` (after ``slow_seconds``) or ``"uneven"`` (503 to each
    second call).
    """

    def __init__(self) -> None:
        self.topics: defaultdict[tuple[str, str], list[tuple[str, bytes]]] = (
            defaultdict(list)
        )
        self.changed = Event()
        self.first_offsets: defaultdict[str, int] = defaultdict(int)
        self.waiting_since: dict[str, float] = {}
        self.fault = ""
        self.slow_seconds = 0.3
        self.calls = 0
        self.server: HttpServer | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await serve_http(self.handle, "127.0.0.1", 0)
        self.port = self.server.port

    async def stop(self) -> None:
        """Stop at once."""
        if self.server is not None:
            await self.server.close()

    def put(self, topic: str, key: str, value: bytes, part: str = "0") -> None:
        """Write a record, as the operator and the engines do."""
        self.topics[(f"keyed.{topic}", part)].append((key, value))
        self._wake()

    def drop_old_records(self, topic: str) -> None:
        """Make only the newest record of each key of a topic readable."""
        name = f"keyed.{topic}"
        self.first_offsets[name] = len(self.topics[(name, "0")])

    def waited(self, topic: str) -> float:
        """Return the seconds for which the last read of ``topic`` has been waiting."""
        since = self.waiting_since.get(f"keyed.{topic}")
        return 0.0 if since is None else get_running_loop().time() - since

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest record of each key, over all partitions."""
        records = (
            record
            for (name, _), entries in self.topics.items()
            if name == f"keyed.{topic}"
            for record in entries
        )
        return dict(records)

    async def handle(self, request: Request) -> Response:
        """Answer a call."""
        self.calls += 1
        is_refused = self.fault == "uneven" and self.calls % 2 == 0
        if self.fault == "busy" or is_refused:
            return Response(503, (), b"")
        if self.fault == "silent":
            await sleep(60)
        if self.fault == "slow":
            await sleep(self.slow_seconds)
        parts = urlsplit(request.target)
        query = dict(parse_qsl(parts.query))
        records = self.topics[(query["topic"], query["part"])]
        match parts.path.rpartition("/")[2]:
            case "log-append":
                return await self._append(records, query, request.body)
            case "log-read":
                return await self._read(records, query)
            case "log-newest":
                return self._newest(records, query.get("after", ""))
        return Response(404, (), b"")

    async def _append(
        self, records: list[tuple[str, bytes]], query: dict[str, str], body: bytes
    ) -> Response:
        if "at" in query and int(query["at"]) != len(records):
            return Response(412, (), encode({"end_offset": len(records)}))
        offset = len(records)
        while body:
            (length,) = RECORD_LENGTH.unpack_from(body)
            content, body = body[4 : 4 + length], body[4 + length :]
            end = 1 + content[0]
            records.append((content[1:end].decode(), content[end:]))
        self._wake()
        if self.fault == "lost":
            await sleep(60)
        answer = {"offset": offset, "end_offset": len(records)}
        return Response(200, (), encode(answer))

    async def _read(
        self, records: list[tuple[str, bytes]], query: dict[str, str]
    ) -> Response:
        offset = int(query["from"])
        first = self.first_offsets[query["topic"]]
        if offset < first:
            return Response(410, (), encode({"first_offset": first}))
        self.waiting_since[query["topic"]] = get_running_loop().time()
        with suppress(TimeoutError):
            async with timeout(int(query.get("wait_ms", 0)) / 1000):
                while len(records) <= offset:
                    await self.changed.wait()
        self.waiting_since.pop(query["topic"], None)
        body = PAGE_HEADER.pack(len(records), first)
        body += b"".join(encoded_record(*record) for record in records[offset:])
        return Response(200, (), body)

    def _newest(self, records: list[tuple[str, bytes]], after: str) -> Response:
        offsets = {key: place for place, (key, _) in enumerate(records)}
        kept = sorted(key for key, place in offsets.items() if records[place][1])
        left = [key for key in kept if key > after]
        entries = [
            {
                "key": key,
                "value": b64encode(records[offsets[key]][1]).decode(),
                "offset": offsets[key],
            }
            for key in left[:PAGE_KEYS]
        ]
        has_more = len(left) > PAGE_KEYS
        answer = {"entries": entries, "has_more": has_more, "end_offset": len(records)}
        return Response(200, (), encode(answer))

    def _wake(self) -> None:
        self.changed.set()
        self.changed.clear()
