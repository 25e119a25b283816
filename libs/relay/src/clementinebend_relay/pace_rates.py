"""How much the endpoints of a service read, by their pace."""

from collections.abc import Callable

from clementinebend_relay.endpoints import EndpointTable


class PaceRates:
    """The part of the endpoints' prompt tokens per second that falls to this entry."""

    def __init__(
        self, endpoints: EndpointTable, entry_count: Callable[[], int]
    ) -> None:
        self.endpoints = endpoints
        self.entry_count = entry_count

    def rate(self, service: str) -> float | None:
        """Return the tokens per second of a service, None if no pace is known.

        Endpoints whose pace is unknown count like the mean of the others.
        """
        states = self.endpoints.candidates(service)
        known = [state.pace.seconds for state in states if state.pace.seconds]
        if not known:
            return None
        mean = sum(1.0 / seconds for seconds in known) / len(known)
        return mean * len(states) / self.entry_count()
