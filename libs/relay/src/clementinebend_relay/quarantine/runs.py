"""Runs of requests that are in progress at this entry."""

from asyncio import Event
from collections import Counter
from collections.abc import Collection, Iterator
from contextlib import contextmanager

MAX_BEGUN = 10_000
"""Maximum number of parts whose runs are counted, about 1 MB."""


class RunsInProgress:
    """Counts the runs of each request and of each part of prompts.

    ``in_flight`` counts runs at endpoints, ``in_check`` runs that broke off and whose
    endpoint is being checked. ``changed`` wakes the calls that wait for either.
    ``begun`` counts the runs begun at this entry by the parts of their prompts.
    """

    def __init__(self) -> None:
        self.in_flight: Counter[str] = Counter()
        self.in_check: Counter[str] = Counter()
        self.begun: Counter[str] = Counter()
        self.changed = Event()

    @contextmanager
    def running(self, fingerprint: str, *parts: str) -> Iterator[None]:
        """Count a run of a request, and of parts, as in progress during the context."""
        self._count_begun(parts)
        self.in_flight.update(parts)
        try:
            with self._counted(self.in_flight, fingerprint):
                yield
        finally:
            self._uncount(parts)

    def _uncount(self, parts: Collection[str]) -> None:
        """Count a run with some parts as ended."""
        in_flight = self.in_flight
        for part in parts:
            in_flight[part] -= 1
            if not in_flight[part]:
                del in_flight[part]

    def _count_begun(self, parts: Collection[str]) -> None:
        """Count a run; the counts of all parts are halved when there are many."""
        self.begun.update(parts)
        if len(self.begun) > MAX_BEGUN:
            self.begun = Counter(
                {name: n // 2 for name, n in self.begun.items() if n > 1}
            )

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
