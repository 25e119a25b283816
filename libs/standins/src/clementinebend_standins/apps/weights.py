"""HTTP face of the weight store."""

from math import ceil
from time import monotonic
from typing import NamedTuple

from clementinebend_standins.faults import FaultSwitch
from clementinebend_standins.http_app import (
    error_response,
    json_response,
    path_of,
    with_faults,
)
from clementinebend_standins.models.weights import empty_weights, load_weights
from clementinebend_transport.http_server import Handler, Request, Response

WEIGHTS_PREFIX = "/weights/"


class WeightsFaults(NamedTuple):
    """Faults of the store: its rate may be lowered, or it may be away."""

    outage: bool = False
    loads_per_second: int = 10


class WeightsApp:
    """Owns the count of loads."""

    def __init__(self, size_bytes: int, loads_per_second: int):
        self.size_bytes = size_bytes
        self.state = empty_weights()
        self.faults = FaultSwitch(WeightsFaults(loads_per_second=loads_per_second))

    async def handle(self, request: Request) -> Response:
        """Answer one load with the size of the model."""
        path = path_of(request)
        if request.method != "GET" or not path.startswith(WEIGHTS_PREFIX):
            return error_response(404, "no such path or method")
        if self.faults.values.outage:
            return error_response(503, "the weight store is unavailable")
        rate = self.faults.values.loads_per_second
        self.state, busy = load_weights(self.state, monotonic(), rate)
        if busy is not None:
            retry_after = ("retry-after", str(ceil(busy.retry_after)))
            return json_response(429, {"error": {"message": "busy"}}, (retry_after,))
        model = path.removeprefix(WEIGHTS_PREFIX)
        return json_response(200, {"model": model, "size": self.size_bytes})


def weights_handler(size_bytes: int, loads_per_second: int) -> Handler:
    """Return the handler of a new weight store."""
    app = WeightsApp(size_bytes, loads_per_second)
    return with_faults(app.faults, app.handle)
