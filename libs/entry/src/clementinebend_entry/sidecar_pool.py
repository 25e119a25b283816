"""The links to the sidecars of this entry's subset, and to others on demand."""

from asyncio import Task, create_task, gather
from collections.abc import Callable, Iterable
from itertools import groupby

from clementinebend_declarations.models import Declarations
from clementinebend_entry.metrics import LINKS
from clementinebend_entry.sidecar_link import (
    Address,
    LinkDown,
    LinkNews,
    LinkUp,
    SidecarLink,
)
from clementinebend_membership.rendezvous import subset
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.messages import Hello


class SidecarPool:
    """Owns the links; ``tell`` hears all their news."""

    def __init__(
        self,
        name: str,
        subset_size: int,
        hello: Callable[[], Hello],
        tell: Callable[[LinkNews], None],
    ) -> None:
        self.name = name
        self.subset_size = subset_size
        self.hello = hello
        self.tell = tell
        self.addresses: dict[str, Address] = {}
        self.links: dict[str, SidecarLink] = {}
        self.tasks: dict[str, Task[None]] = {}
        self.ending: set[Task[None]] = set()

    def configure(self, declarations: Declarations) -> None:
        """Keep links to the subset of each service's endpoints."""
        self.addresses = {
            name: Address(name, endpoint.host, endpoint.port)
            for name, endpoint in declarations.endpoints.items()
        }
        for endpoint, link in tuple(self.links.items()):
            if self.addresses.get(endpoint) != link.address:
                self.drop(endpoint)
        for endpoint in chosen_endpoints(self.name, declarations, self.subset_size):
            self.link_to(endpoint)

    def link_to(self, endpoint: str) -> SidecarLink | None:
        """Return the link to an endpoint's sidecar, opened if need be."""
        link = self.links.get(endpoint)
        address = self.addresses.get(endpoint)
        if link is None and address is not None:
            link = SidecarLink(address, self.hello, self.news)
            self.links[endpoint] = link
            self.tasks[endpoint] = create_task(link.run(), name=f"link {endpoint}")
        return link

    def drop(self, endpoint: str) -> None:
        """Close the link to an endpoint that is declared no more.

        Runs that are open on it are followed to their end first.
        """
        task, link = self.tasks.pop(endpoint), self.links.pop(endpoint)
        if not link.runs:
            task.cancel()
            return
        self.ending.add(task)
        task.add_done_callback(self.ending.discard)
        link.on_idle = lambda: _cancel(task)

    def incarnations(self) -> tuple[Incarnation, ...]:
        """Return the sidecars that can be reached now."""
        hellos = (link.peer for link in self.reachable())
        return tuple(hello.incarnation for hello in hellos if hello is not None)

    def reachable(self) -> Iterable[SidecarLink]:
        """Return the links that are up."""
        return (link for link in self.links.values() if link.up.is_set())

    def news(self, news: LinkNews) -> None:
        """Pass on what a link tells."""
        if isinstance(news, LinkUp | LinkDown):
            LINKS.labels("sidecar").set(len(tuple(self.reachable())))
        self.tell(news)

    async def close(self) -> None:
        """Close all links."""
        tasks = (*self.tasks.values(), *self.ending)
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)


def _cancel(task: Task[None]) -> None:
    task.cancel()


def chosen_endpoints(
    name: str, declarations: Declarations, size: int
) -> tuple[str, ...]:
    """Return the endpoints that the entry ``name`` works with."""
    endpoints = declarations.endpoints
    by_service = groupby(
        sorted(endpoints, key=lambda endpoint: (endpoints[endpoint].service, endpoint)),
        key=lambda endpoint: endpoints[endpoint].service,
    )
    return tuple(
        endpoint
        for _, names in by_service
        for endpoint in subset(name, tuple(names), size)
    )
