"""A plain service: one call for each request, never repeated here."""

from expression import Result

from clementinebend_platform_client.exceptions import CallFailed
from clementinebend_platform_client.http_calls import call
from clementinebend_records.identifiers import RequestKey, RunId
from clementinebend_transport.http_client import Answer, HttpClient

RUN_HEADER = "x-run-id"
KEY_HEADER = "idempotency-key"
CALL_TIMEOUT = 30.0


class ServiceClient:
    """Calls the service at ``url``."""

    def __init__(self, url: str, http: HttpClient) -> None:
        self.url = url.rstrip("/")
        self.http = http

    async def call(
        self,
        method: str,
        path: str,
        content_type: str,
        body: bytes,
        run: RunId,
        key: RequestKey,
        timeout: float = CALL_TIMEOUT,
    ) -> Result[Answer, CallFailed]:
        """Return the service's whole answer, of any status.

        With ``sent`` a failed call may have been executed.
        """
        typed = (("content-type", content_type),) if content_type else ()
        headers = (*typed, (RUN_HEADER, run), (KEY_HEADER, key))
        return await call(self.http, method, self.url + path, timeout, headers, body)
