"""The platform's list of live and leaving hosts, which lags."""

from typing import NamedTuple, TypedDict

from expression import Result

from clementinebend_platform_client.exceptions import CallFailed
from clementinebend_platform_client.http_calls import call_successfully, decoded, url_of
from clementinebend_transport.http_client import Answer, HttpClient

LIST_TIMEOUT = 5.0


class HostEntry(NamedTuple):
    """One host as listed; ``state`` is ``live`` or ``leaving``."""

    name: str
    address: str
    zone: str
    state: str


class HostRow(TypedDict):
    """One host in the body of the answer."""

    name: str
    address: str
    zone: str
    state: str


class HostList(TypedDict):
    """The body of the answer."""

    hosts: list[HostRow]


class HostsClient:
    """Reads the list."""

    def __init__(self, url: str, http: HttpClient) -> None:
        self.url = url
        self.http = http

    async def list(self) -> Result[tuple[HostEntry, ...], str]:
        """Return all hosts listed, or why there is no list."""
        url = url_of(self.url, "hosts")
        answer = await call_successfully(self.http, "GET", url, LIST_TIMEOUT)
        return answer.bind(_entries).map_error(lambda failure: failure.message)


def _entries(answer: Answer) -> Result[tuple[HostEntry, ...], CallFailed]:
    return decoded(answer, HostList).map(
        lambda body: tuple(HostEntry(**row) for row in body["hosts"])
    )
