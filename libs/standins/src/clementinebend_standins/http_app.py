"""What the HTTP faces of all stand-ins share: answers, queries and serving."""

import sys
from asyncio import Event
from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

from msgspec.json import encode

from clementinebend_standins.faults import FaultError, FaultSwitch, fields_of
from clementinebend_transport.http_server import (
    Handler,
    Request,
    Response,
    serve_http,
)
from clementinebend_transport.lifecycle import run_until_stopped

JSON_TYPE = ("content-type", "application/json")


def json_response(
    status: int, content: Any, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Return a response with a JSON body."""
    return Response(status, (JSON_TYPE, *headers), encode(content))


def error_response(status: int, message: str) -> Response:
    """Return a JSON error in the shape that OpenAI clients read."""
    return json_response(status, {"error": {"message": message}})


def path_of(request: Request) -> str:
    """Return the decoded path of a request's target."""
    return unquote(urlsplit(request.target).path)


def query_number(request: Request, name: str, default: int) -> int:
    """Return a whole number of the query; the default also when it is none."""
    text = dict(parse_qsl(urlsplit(request.target).query)).get(name, "")
    return int(text) if text.isdecimal() else default


def with_faults(switch: FaultSwitch[Any], handler: Handler) -> Handler:
    """Return a handler that answers /healthz and /faults, and asks ``handler``."""

    async def handle(request: Request) -> Response:
        path = path_of(request)
        if path == "/healthz":
            return json_response(200, {"ready": True})
        if path == "/faults":
            return _answer_faults(switch, request)
        return await handler(request)

    return handle


def serve_until_stopped(handler: Handler, host: str, port: int) -> int:
    """Serve until SIGTERM and return the exit code; print the port first."""

    async def main(stopped: Event) -> int:
        server = await serve_http(handler, host, port)
        announce({"port": server.port})
        await stopped.wait()
        await server.close()
        return 0

    return run_until_stopped(main)


def announce(line: Mapping[str, int]) -> None:
    """Write one JSON line on stdout for whoever started the process."""
    sys.stdout.write(encode(line).decode() + "\n")
    sys.stdout.flush()


def _answer_faults(switch: FaultSwitch[Any], request: Request) -> Response:
    if request.method not in ("GET", "PUT"):
        return error_response(405, "use GET or PUT")
    problem = switch.change(request.body) if request.method == "PUT" else None
    if isinstance(problem, FaultError):
        return error_response(400, problem.message)
    return json_response(200, fields_of(switch.values)._asdict())
