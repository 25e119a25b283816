"""The store of model weights, which is rate-limited."""

from typing import TypedDict

from expression import Result

from clementinebend_platform_client.exceptions import CallFailed
from clementinebend_platform_client.http_calls import call_successfully, decoded, url_of
from clementinebend_transport.http_client import HttpClient

FETCH_TIMEOUT = 60.0


class Weights(TypedDict):
    """What the store gave; ``size`` is in bytes."""

    model: str
    size: int


class WeightStoreClient:
    """Asks the store at ``url``."""

    def __init__(self, url: str, http: HttpClient) -> None:
        self.url = url
        self.http = http

    async def fetch(self, model: str) -> Result[Weights, CallFailed]:
        """Fetch the weights of a model.

        A failure's ``retry_after`` says in how many seconds to come back when
        the store is busy (status 429); 0 if it names no time.
        """
        url = url_of(self.url, "weights", model)
        answer = await call_successfully(self.http, "GET", url, FETCH_TIMEOUT)
        return answer.bind(lambda whole: decoded(whole, Weights))
