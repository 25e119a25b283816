"""What the direct path asks of an adapter. Adapters name, format and call."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple, Protocol

from h11 import Request as HttpRequest

from clementinebend_platform_client.keyed_log import KeyedLog
from clementinebend_relay.models import (
    Call,
    Configuration,
    Endpoint,
    Rejection,
)
from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_types import Request, Response


class Dispatch(NamedTuple):
    """What one sending of a call to an endpoint carries beside the call.

    ``time_left`` (seconds) bounds the endpoint's work; ``resume_after`` is
    the last event that the caller already has. ``fetch_from`` is another
    endpoint, from which kept parts of the prompt are fetched instead of read.
    """

    endpoint: Endpoint
    team: str | None
    time_left: float
    priority: int
    resume_after: str | None
    fetch_from: Address | None = None


class Verdict(StrEnum):
    """What the head of an endpoint's answer says about the call."""

    SUCCESS = "success"
    NOT_RUN = "not_run"
    WRONG_ENDPOINT = "wrong_endpoint"
    FAILED = "failed"
    FOREIGN = "foreign"


class Notice(NamedTuple):
    """What the head of an endpoint's answer says about the endpoint itself.

    It leaves, or wants nothing from this entry for ``pause`` seconds.
    """

    is_leaving: bool = False
    pause: float | None = None


class Unusable(NamedTuple):
    """A record that cannot be decoded, and why."""

    problem: str


class HttpProtocol(Protocol):
    """How callers and endpoints speak."""

    def is_ready_check(self, request: Request) -> bool:
        """Tell whether a request asks if this process is ready."""
        ...

    def read_call(self, request: Request) -> Call | Rejection:
        """Return a caller's request, decoded."""
        ...

    def endpoint_request(self, call: Call, dispatch: Dispatch) -> HttpRequest:
        """Return the head of the request to an endpoint."""
        ...

    def judge(self, call: Call, status: int, headers: Mapping[str, str]) -> Verdict:
        """Tell what the head of an answer says."""
        ...

    def notice(self, status: int, headers: Mapping[str, str]) -> Notice:
        """Tell what the head of an answer says about its endpoint."""
        ...

    def caller_headers(self, headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
        """Return the headers of an endpoint's answer that the caller gets."""
        ...

    def rejection_response(self, rejection: Rejection, request_id: str) -> Response:
        """Return the answer to a call that no endpoint answered."""
        ...


class Records(Protocol):
    """How the records that others write are decoded."""

    def configuration(self, value: bytes) -> Configuration | Unusable:
        """Return the configuration that a record holds."""
        ...

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that an operator's record of this key evacuates.

        None if the record is of another kind, an empty string if it names no zone.
        """
        ...

    def endpoint(self, name: str, value: bytes) -> Endpoint | Unusable:
        """Return the endpoint that a record announces."""
        ...


class Logs(NamedTuple):
    """The partitions of the store that an entry works with."""

    configuration: KeyedLog
    endpoints: KeyedLog
    entries: KeyedLog
    gateways: KeyedLog
    marks: tuple[KeyedLog, ...]
    quarantine: KeyedLog


CONFIGURATION_KEY = "config"
"""The key of the record that holds the newest configuration."""
