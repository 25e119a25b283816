"""Simulates entries and a zone whose endpoints come back cold, in virtual time."""

from asyncio import create_task, gather, get_running_loop, sleep
from collections import defaultdict
from random import Random
from typing import NamedTuple

from clementinebend_platform.records import PlatformRecords
from clementinebend_relay.cold_endpoints import ColdEndpoints
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.endpoint_limits import EndpointLimits
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.messages import Message, QueueMessage, ReportMessage
from clementinebend_relay.models import Call, Endpoint, RouteKind
from clementinebend_relay.queue_keeper import QueueKeeper
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_relay.survey import Surveyor
from clementinebend_routing.cold_start import WINDOW_SECONDS, ColdBound
from clementinebend_routing.sessions import PromptPart, SessionTracker
from clementinebend_transport.client_connection import Address
from tests.unit.relay.calls import CALL, SERVICE, admitted, route

BOUND = ColdBound(1.5, 5.0)
COLD_SERVICE = SERVICE._replace(
    max_connections=10_000, cold_seconds=3.0, cold_rate=13.0
)
MAX_CALLS_PER_SECOND = 13.0 * 1.5 + 5.0
ENDPOINTS = 24
ZONES = ("a", "b", "c", "d")
MAX_DATAGRAM_DELAY = 0.003
CALL_SECONDS = 0.3
RETRY_DELAY = 0.05
CALL_TIMEOUT = 2.0


class Load(NamedTuple):
    """Call rate in calls a second, share of lost datagrams, and injected faults."""

    rate: float
    seconds: float = 2.2
    evacuation_ended_at: float = 0.5
    loss: float = 0.0
    keepers_restarted_at: float | None = None
    disconnected_entries: float = 0.0


class Outcome(NamedTuple):
    """The result of a simulated load.

    ``max_calls_per_second`` is the most calls that reached one cold endpoint in a
    second, ``cold_calls`` all calls that reached cold endpoints.
    """

    calls: int
    served: int
    max_calls_per_second: int
    cold_calls: int


class ColdWorld:
    """Entries, the keepers of the endpoints' queues, and a zone under evacuation."""

    def __init__(self, entries: int, seed: int) -> None:
        self.random = Random(seed)
        self.clock = get_running_loop().time
        self.loss = 0.0
        self.gateways, self.directory = Directory(), Directory()
        self.keepers: dict[Address, QueueKeeper] = {}
        self.arrivals: defaultdict[str, list[float]] = defaultdict(list)
        self.endpoints = [
            Endpoint(
                f"e{number}",
                "pool",
                Address(f"10.9.0.{number}", 80),
                ZONES[number % len(ZONES)],
                64,
                False,
            )
            for number in range(ENDPOINTS)
        ]
        for number in range(ENDPOINTS):
            self.start_keeper(number, 1)
        for number in range(entries):
            item = Announcement(f"entry-{number}#1", "z", "10.1.0.1", number)
            self.directory.put(f"entry-{number}", item)
        self.directory.known.set()
        self.entries = [
            ColdEntry(self, number, ZONES[number % len(ZONES)])
            for number in range(entries)
        ]

    def start_keeper(self, number: int, boot: int) -> None:
        """Start a boot of the keeper of an endpoint's queue, with an empty state."""
        name = f"gateway-{number}"
        item = Announcement(f"{name}#{boot}", "z", f"10.9.0.{number}", 7)
        self.gateways.put(name, item)
        self.keepers[item.address] = QueueKeeper(item.boot, self.answer, self.clock)

    def deliver_later(self, deliver: object, *arguments: object) -> None:
        """Deliver a datagram after a random delay, unless it is lost."""
        if self.random.random() >= self.loss:
            delay = self.random.uniform(0.0005, MAX_DATAGRAM_DELAY)
            get_running_loop().call_later(delay, deliver, *arguments)  # type: ignore[arg-type]

    def answer(self, message: Message, to: Address) -> None:
        """Deliver a keeper's report to an entry."""
        if isinstance(message, ReportMessage):
            self.deliver_later(self.entries[to.port].probes.on_report, message)

    def end_evacuation(self, zone: str) -> None:
        """End the evacuation of a zone; its endpoints are cold from now on."""
        for entry in self.entries:
            entry.table.on_evacuation(zone, False)

    def cold_arrivals(self, zone: str, since: float) -> list[list[float]]:
        """Return the arrival times of calls at each cold endpoint of a zone."""
        until = since + COLD_SERVICE.cold_seconds
        return [
            [at for at in self.arrivals[endpoint.name] if since <= at < until]
            for endpoint in self.endpoints
            if endpoint.zone == zone
        ]


class ColdEntry:
    """The parts of an entry that choose endpoints and send calls."""

    def __init__(self, world: ColdWorld, number: int, zone: str) -> None:
        self.world = world
        self.address = Address("10.1.0.1", number)
        self.is_disconnected = False
        clock = world.clock
        self.cold_endpoints = ColdEndpoints(f"entry-{number}", world.directory, clock)
        self.cold_endpoints.configure([COLD_SERVICE], BOUND)
        self.table = EndpointTable(PlatformRecords(), self.cold_endpoints, clock)
        for endpoint in world.endpoints:
            state = EndpointState(endpoint, clock() - 60.0)
            self.table.states[endpoint.name] = state
        self.table.on_evacuation("b", True)
        self.probes = QueueProbes(world.gateways, world.directory, self.send, clock)
        self.surveyor = Surveyor(
            zone,
            self.table,
            SessionTracker(),
            self.probes,
            EndpointLimits(
                f"entry-{number}#1",
                self.table.states,
                world.directory,
                lambda message, addresses: None,
                self.probes.notify,
                clock,
            ),
            lambda: len(world.entries),
            lambda fingerprint: None,
            clock,
        )

    def send(self, message: Message, to: Address) -> None:
        """Send a datagram to the keeper of an endpoint's queue."""
        if not self.is_disconnected and isinstance(message, QueueMessage):
            self.world.deliver_later(self.receive, message, to)

    def receive(self, message: QueueMessage, to: Address) -> None:
        """Pass a datagram to the keeper that has the address now."""
        self.world.keepers[to].on_message(message, self.address)

    async def call(self, name: str) -> bool:
        """Send a call once an endpoint accepts it; return whether it was sent."""
        world = self.world
        parts = (PromptPart(f"session-{name}", 900), PromptPart(name, 900))
        call: Call = CALL._replace(request_id=name, parts=parts, prompt_tokens=1_800)
        admission = admitted(route(RouteKind.STREAM), call)
        admission = admission._replace(service=COLD_SERVICE)
        until = world.clock() + CALL_TIMEOUT
        survey = await self.surveyor.survey(admission, ())
        while survey.is_rate_limited or not self.surveyor.is_usable(survey):
            if world.clock() >= until:
                return False
            await sleep(RETRY_DELAY)
            survey = await self.surveyor.survey(admission, ())
        placement = survey.placement
        if placement is None:
            return False
        state = placement.state
        state.last_sent_at = world.clock()
        state.in_flight += 1
        self.probes.on_sent(state.endpoint, name, 1, placement.tokens, parts)
        await sleep(world.random.uniform(0.001, MAX_DATAGRAM_DELAY))
        world.arrivals[state.endpoint.name].append(world.clock())
        await sleep(CALL_SECONDS)
        self.probes.on_read(state.endpoint, name)
        self.probes.on_ended(state.endpoint, name)
        state.in_flight -= 1
        return True


async def simulate(entries: int, load: Load, seed: int) -> Outcome:
    """Simulate a zone that comes back cold under a load."""
    world = ColdWorld(entries, seed)
    world.loss = load.loss
    loop = get_running_loop()
    start = loop.time()
    loop.call_at(start + load.evacuation_ended_at, world.end_evacuation, "b")
    if load.keepers_restarted_at is not None:
        loop.call_at(start + load.keepers_restarted_at, _restart_keepers, world)
    for entry in world.entries[: int(load.disconnected_entries * entries)]:
        loop.call_at(start + load.evacuation_ended_at, _disconnect, entry)
    tasks = []
    at, number = 0.0, 0
    while (at := at + world.random.expovariate(load.rate)) < load.seconds:
        await sleep(max(0.0, start + at - loop.time()))
        entry = world.random.choice(world.entries)
        number += 1
        tasks.append(create_task(entry.call(f"c{number}")))
    outcomes = await gather(*tasks)
    arrivals = world.cold_arrivals("b", start + load.evacuation_ended_at)
    most = max(map(max_calls_per_second, arrivals))
    return Outcome(len(outcomes), sum(outcomes), most, sum(map(len, arrivals)))


def max_calls_per_second(times: list[float]) -> int:
    """Return the largest number of times that lie within one second."""
    return max(
        (sum(first <= at < first + WINDOW_SECONDS for at in times) for first in times),
        default=0,
    )


def _disconnect(entry: ColdEntry) -> None:
    entry.is_disconnected = True


def _restart_keepers(world: ColdWorld) -> None:
    for number in range(ENDPOINTS):
        world.start_keeper(number, 2)
