"""Runs of requests that are in progress at this entry."""

from asyncio import Event
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager


class RunsInProgress:
    """Counts the runs of each request, by the fingerprint of the request.

    ``in_flight`` counts runs at endpoints, ``in_check`` runs that broke off and whose
    endpoint is being checked. ``changed`` wakes the calls that wait for either.
    """

    def __init__(self) -> None:
        self.in_flight: Counter[str] = Counter()
        self.in_check: Counter[str] = Counter()
        self.changed = Event()

    @contextmanager
    def running(self, fingerprint: str) -> Iterator[None]:
        """Count a run as in progress during the context."""
        with self._counted(self.in_flight, fingerprint):
            yield

    @contextmanager
    def checking(self, fingerprint: str) -> Iterator[None]:
        """Count a run as broken off, with its endpoint in doubt, during the context."""
        with self._counted(self.in_check, fingerprint):
            yield

    def notify(self) -> None:
        """Wake the calls that wait for a change."""
        self.changed.set()
        self.changed.clear()

    @contextmanager
    def _counted(self, counter: Counter[str], fingerprint: str) -> Iterator[None]:
        counter[fingerprint] += 1
        try:
            yield
        finally:
            counter[fingerprint] -= 1
            if not counter[fingerprint]:
                del counter[fingerprint]
            self.notify()
