"""The operators' side: health, readiness, metrics and the order to drain."""

from msgspec.json import encode

from clementinebend_sidecar.gate.events import DrainAsked
from clementinebend_sidecar.owner import GateOwner
from clementinebend_transport.http_server import (
    Handler,
    Request,
    Response,
    error_response,
)
from clementinebend_transport.metrics import render_metrics

JSON_TYPE = ("content-type", "application/json")


def operator_handler(owner: GateOwner) -> Handler:
    """Return the handler of ``/healthz``, ``/readyz``, ``/metrics``, ``/drain``."""

    async def handle(request: Request) -> Response:
        match (request.method, request.target.partition("?")[0]):
            case ("GET", "/healthz"):
                return _status(200, owner)
            case ("GET", "/readyz"):
                leaving = owner.state.figures["leaving"]
                return _status(503 if leaving else 200, owner)
            case ("GET", "/metrics"):
                return render_metrics()
            case ("POST", "/drain"):
                owner.tell(DrainAsked("POST /drain"))
                return _status(202, owner)
        known = "GET /healthz, /readyz, /metrics or POST /drain"
        return error_response(404, "bad_request", f"use {known}")

    return handle


def _status(status: int, owner: GateOwner) -> Response:
    gate = owner.state
    content = {
        "endpoint": gate.identity.name,
        "incarnation": gate.identity.incarnation,
        "leaving": gate.figures["leaving"],
        "revision": gate.figures["revision"],
        "running": len(gate.executing),
        "queued": len(gate.queue),
        "receipts": len(gate.receipts),
    }
    return Response(status, (JSON_TYPE,), encode(content))
