"""HTTP face of the platform's list of hosts."""

from time import monotonic
from typing import Literal, NamedTuple, TypedDict

from msgspec import DecodeError, ValidationError
from msgspec.json import decode

from clementinebend_standins.faults import FaultSwitch
from clementinebend_standins.http_app import (
    error_response,
    json_response,
    path_of,
    with_faults,
)
from clementinebend_standins.models.lagged import (
    Lagged,
    empty_lagged,
    set_value,
    visible_value,
)
from clementinebend_transport.http_server import Handler, Request, Response


class HostsFaults(NamedTuple):
    """Faults of the host list: how late changes become visible."""

    lag_ms: int = 0


class Host(TypedDict):
    """One host as listed; ``address`` is ``ip:port``."""

    name: str
    address: str
    zone: str
    state: Literal["live", "leaving"]


class HostList(TypedDict):
    """The body of ``/hosts``."""

    hosts: tuple[Host, ...]


class HostsApp:
    """Owns the list and answers reads and writes of it."""

    def __init__(self) -> None:
        self.faults = FaultSwitch(HostsFaults())
        self.listed: Lagged[HostList] = empty_lagged(HostList(hosts=()))

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        if path_of(request) != "/hosts":
            return error_response(404, "no such path")
        if request.method == "PUT":
            return self.replace(request.body)
        lag = self.faults.values.lag_ms / 1000
        return json_response(200, visible_value(self.listed, monotonic(), lag))

    def replace(self, body: bytes) -> Response:
        """Set the whole list."""
        try:
            hosts = decode(body, type=HostList)
        except (DecodeError, ValidationError, RecursionError) as error:
            return error_response(400, str(error))
        self.listed = set_value(self.listed, hosts, monotonic())
        return json_response(200, hosts)


def hosts_handler() -> Handler:
    """Return the handler of a new, empty host list."""
    app = HostsApp()
    return with_faults(app.faults, app.handle)
