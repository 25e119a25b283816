"""A gate with its effects at hand, for tests."""

from clementinebend_declarations.models import ServiceKind
from clementinebend_records.identifiers import GrantId, Incarnation, RequestKey, RunId
from clementinebend_records.messages import Message, RunStart, Ticket
from clementinebend_sidecar.gate.effects import Effect, Send, StartRun, StopRun
from clementinebend_sidecar.gate.events import (
    Connected,
    Event,
    HeadArrived,
    PieceArrived,
    Received,
    RunOver,
    Whole,
)
from clementinebend_sidecar.gate.reducer import step
from clementinebend_sidecar.gate.state import (
    GateLimits,
    GateState,
    Identity,
    empty_gate,
)

ME = Incarnation("engine-1#a")
HOLDER = Incarnation("entry-1#a")
LIMITS = GateLimits(
    slots=2,
    queue_bound=2,
    answer_retention_s=100.0,
    answer_retention_bytes=1000,
    drain_timeout_s=30.0,
)


class Gate:
    """A gate under test: what it sent, started and stopped so far."""

    def __init__(
        self, limits: GateLimits = LIMITS, kind: ServiceKind = ServiceKind.MODEL
    ) -> None:
        identity = Identity("engine-1", "zilina-a", ME, 2, kind)
        self.state: GateState = empty_gate(identity, limits)
        self.now = 0.0
        self.effects: list[Effect] = []

    def tell(self, event: Event) -> tuple[Effect, ...]:
        """Hand one event to the gate and return what follows."""
        self.state, effects = step(self.state, event, self.now)
        self.effects.extend(effects)
        return effects

    def receive(self, message: Message, connection: int = 1) -> list[Message]:
        """Hand a message to the gate; return what it sends back on that way."""
        effects = self.tell(Received(connection, message))
        return sent(effects, connection)

    def connect(self, connection: int = 1) -> list[Message]:
        """Open a connection."""
        return sent(self.tell(Connected(connection)), connection)

    def answer(self, run: str, *pieces: bytes, usage: int = 7) -> tuple[Effect, ...]:
        """Let the endpoint give a whole answer of ``pieces``."""
        self.tell(HeadArrived(RunId(run), 200, "text/plain"))
        for piece in pieces:
            self.tell(PieceArrived(RunId(run), piece))
        return self.tell(RunOver(RunId(run), Whole(usage, succeeded=True)))

    @property
    def started(self) -> list[str]:
        """Ids of all runs started so far."""
        starts = (each for each in self.effects if isinstance(each, StartRun))
        return [each.start.run for each in starts]

    @property
    def stopped(self) -> list[str]:
        """Ids of all runs stopped so far."""
        return [each.run for each in self.effects if isinstance(each, StopRun)]


def sent(effects: tuple[Effect, ...], connection: int = 1) -> list[Message]:
    """Return the messages among ``effects`` for one connection."""
    sends = (each for each in effects if isinstance(each, Send))
    return [each.message for each in sends if each.connection == connection]


def run_start(
    run: str,
    key: str | None = None,
    digest: str = "d",
    holder: str = HOLDER,
    sidecar: str = ME,
    amount: int = 100,
    priority: int = 0,
    deadline_ms: int = 10_000,
    idempotent: bool = True,
) -> RunStart:
    """Return a request to run."""
    ticket = Ticket(
        "budget", GrantId("g"), Incarnation(holder), Incarnation(sidecar), amount
    )
    return RunStart(
        run=RunId(run),
        key=RequestKey(key or f"team/{run}"),
        body_digest=digest,
        ticket=ticket,
        method="POST",
        path="/v1/completions",
        content_type="application/json",
        body=b"{}",
        stream=True,
        idempotent=idempotent,
        priority=priority,
        deadline_ms=deadline_ms,
        token_limit=10,
    )
