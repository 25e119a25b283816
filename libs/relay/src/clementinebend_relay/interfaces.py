"""Interfaces that adapters implement for the relay.

Adapters define the names, the formats and the calls of the platform.
"""

from collections.abc import Generator, Mapping
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
    """What is sent to an endpoint with one attempt, in addition to the call.

    ``time_left`` is the time limit of the endpoint in seconds. ``resume_after`` is the
    ID of the last event that the caller has received. ``fetch_from`` is another
    endpoint, from which cached parts of the prompt are fetched instead of read.
    """

    endpoint: Endpoint
    team: str | None
    time_left: float
    priority: int
    resume_after: str | None
    fetch_from: Address | None = None


class Verdict(StrEnum):
    """What the head of an endpoint's response says about the call."""

    SUCCESS = "success"
    NOT_RUN = "not_run"
    WRONG_ENDPOINT = "wrong_endpoint"
    FAILED = "failed"
    FOREIGN = "foreign"


class InvalidRate(NamedTuple):
    """A request limit that can't be decoded; ``text`` is what was named, shortened."""

    text: str


class Notice(NamedTuple):
    """What the head of an endpoint's response says about the endpoint itself.

    The endpoint is leaving, or asks this entry for a pause of ``pause`` seconds.
    ``max_rate`` is the number of requests per second that it takes from all entries
    together, or None if it names no limit. ``endpoint`` is the name of the endpoint
    that responded, if the head contains it.
    """

    is_leaving: bool = False
    pause: float | None = None
    max_rate: float | InvalidRate | None = None
    endpoint: str | None = None


class InvalidRecord(NamedTuple):
    """A record that can't be decoded; ``problem`` says why."""

    problem: str


ConfigurationSteps = Generator[None, None, Configuration | InvalidRecord]
"""Decodes a configuration in short steps, and returns it after the last one."""


class HttpProtocol(Protocol):
    """The HTTP protocol of callers and endpoints."""

    def is_ready_check(self, request: Request) -> bool:
        """Return whether a request is a readiness check of this process."""
        ...

    def read_call(self, request: Request) -> Call | Rejection:
        """Decode a caller's request, or return why it is rejected."""
        ...

    def endpoint_request(self, call: Call, dispatch: Dispatch) -> HttpRequest:
        """Return the head of the request to an endpoint."""
        ...

    def classify_response(
        self, call: Call, status: int, headers: Mapping[str, str]
    ) -> Verdict:
        """Return what the head of a response says about the call."""
        ...

    def promises_not_run(self, status: int) -> bool:
        """Return whether a status alone tells callers that a call has not run."""
        ...

    def notice(self, status: int, headers: Mapping[str, str]) -> Notice:
        """Return what the head of a response says about its endpoint."""
        ...

    def caller_headers(self, headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
        """Return the headers of a response that are forwarded to the caller."""
        ...

    def rejection_response(self, rejection: Rejection, request_id: str) -> Response:
        """Return the response to a call that got none from an endpoint."""
        ...


class RecordDecoder(Protocol):
    """Decodes the records that other processes write to the store."""

    def configuration(self, value: bytes) -> Configuration | InvalidRecord:
        """Return the configuration that a record holds."""
        ...

    def configuration_steps(self, value: bytes) -> ConfigurationSteps:
        """Return the steps that decode the configuration that a record holds."""
        ...

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that an operator's record of this key evacuates.

        None if the record is of another kind, an empty string if it names no zone.
        """
        ...

    def endpoint(self, name: str, value: bytes) -> Endpoint | InvalidRecord:
        """Return the endpoint that a record announces."""
        ...


class Logs(NamedTuple):
    """The partitions of the store that an entry uses."""

    configuration: KeyedLog
    endpoints: KeyedLog
    entries: KeyedLog
    gateways: KeyedLog
    quotas: tuple[KeyedLog, ...]
    quarantine: KeyedLog


CONFIGURATION_KEY = "config"
"""The key of the record that holds the newest configuration."""
