"""Baseline: a bare HTTP relay over the product's own transport.

Caller, relay, engine: each request goes to the next engine in turn, and its
answer comes back piece by piece. No budgets, queues, receipts or retries.
"""

from asyncio import Event
from collections.abc import Sequence
from itertools import cycle
from json import dumps
from sys import argv, stdout

from expression import Result

from clementinebend_transport.http_client import HttpClient
from clementinebend_transport.http_server import (
    Handler,
    Request,
    Response,
    serve_http,
)
from clementinebend_transport.lifecycle import run_until_stopped

LOCALHOST = "127.0.0.1"
PASSED_ON = ("content-type", "idempotency-key")
ANSWER_TIMEOUT = 30.0
HEALTH_PATH = "/healthz"


def relay_handler(client: HttpClient, engines: Sequence[str]) -> Handler:
    """Return a handler that passes requests on to ``engines`` in turn."""
    urls = cycle(engines)

    async def handle(request: Request) -> Response:
        if request.target == HEALTH_PATH:
            return Response(200, (), b"{}")
        headers = [(name, request.headers.get(name, "")) for name in PASSED_ON]
        opened = await client.open(
            request.method,
            next(urls) + request.target,
            headers,
            request.body,
            ANSWER_TIMEOUT,
        )
        match opened:
            case Result(tag="ok", ok=answer):
                kind = answer.headers.get("content-type", "")
                return Response(answer.status, (("content-type", kind),), answer.chunks)
            case Result(error=failure):
                return Response(502, (), failure.message.encode())

    return handle


def main(engines: Sequence[str]) -> int:
    """Serve until SIGTERM; print the port first."""

    async def serve(stopped: Event) -> int:
        client = HttpClient()
        server = await serve_http(relay_handler(client, engines), LOCALHOST, 0)
        stdout.write(dumps({"port": server.port}) + "\n")
        stdout.flush()
        await stopped.wait()
        await server.close()
        await client.close()
        return 0

    return run_until_stopped(serve)


if __name__ == "__main__":
    raise SystemExit(main(argv[1:]))
