"""Orders to the engine: declared models that it lacks are loaded.

Only the newest claimant of the endpoint orders, under its fencing number. An
engine that does not check the number is ordered only behind the order port,
which its predecessor has given up by ending; without that port it is not
ordered at all. An order that the predecessor had sent may still arrive later;
the engine is compared with the declarations again and again, so it ends up as
declared. Models are never unloaded here: runs may need them.
"""

from asyncio import get_running_loop, sleep
from collections.abc import Callable, Iterable
from logging import getLogger
from socket import socket

from expression import Result

from clementinebend_platform_client.engine import EngineAction, EngineClient
from clementinebend_platform_client.weight_store import WeightStoreClient
from clementinebend_sidecar.fencing import FencingReader
from clementinebend_sidecar.metrics import ORDERS
from clementinebend_sidecar.order_port import bind_order_port
from clementinebend_sidecar.settings import SidecarSettings

logger = getLogger(__name__)

LOOK_SECONDS = 1.0
REPEAT_SECONDS = 15.0
"""How long an engine may take to show a model that it was told to load."""

OLD_NUMBER = 409


class EngineOrders:
    """The task that compares the engine with the declarations."""

    def __init__(
        self,
        settings: SidecarSettings,
        engine: EngineClient,
        weights: WeightStoreClient | None,
        declared: Callable[[], tuple[str, ...]],
        claims: Callable[[], FencingReader],
    ) -> None:
        self.settings = settings
        self.engine = engine
        self.weights = weights
        self.declared = declared
        self.open_claims = claims
        self.claims: FencingReader | None = None
        self.port: socket | None = None
        self.ordered: dict[str, float] = {}
        self.loop = get_running_loop()

    async def run(self) -> None:
        """Order what is missing, for as long as this process may."""
        settings = self.settings
        if settings.order_port:
            self.port = await bind_order_port(settings.host, settings.order_port)
            logger.info("order port bound", extra={"port": settings.order_port})
        if not settings.fenced and self.port is None:
            logger.warning("no order_port and no fencing: the engine is not ordered")
            return
        while True:
            if not await self.order_missing():
                return
            await sleep(LOOK_SECONDS)

    async def order_missing(self) -> bool:
        """Order the load of missing models; return whether to go on."""
        declared = self.declared()
        if not declared:
            return True
        match await self.engine.load():
            case Result(tag="ok", ok=load):
                missing = self.due(missing_models(declared, load["models"]))
            case _:
                return True
        for model in missing:
            if not await self.order_load(model):
                return False
        return True

    def due(self, models: Iterable[str]) -> tuple[str, ...]:
        """Return the models that were not ordered a short time ago."""
        now = self.loop.time()
        return tuple(
            model
            for model in models
            if now - self.ordered.get(model, -REPEAT_SECONDS) >= REPEAT_SECONDS
        )

    async def order_load(self, model: str) -> bool:
        """Order one model; return whether this process may still order."""
        if not await self.has_weights(model):
            return True
        if self.claims is None:
            self.claims = self.open_claims()
        number = await self.claims.number()
        if number is None:
            return self.refused()
        answer = await self.engine.order(number, _load_of(model))
        match answer:
            case Result(tag="ok"):
                ORDERS.labels("done").inc()
                self.ordered[model] = self.loop.time()
                logger.info("engine loads model", extra={"model": model})
            case Result(error=failure) if failure.status == OLD_NUMBER:
                return self.refused()
            case _:
                ORDERS.labels("failed").inc()
        return True

    async def has_weights(self, model: str) -> bool:
        """Ask the weight store, if there is one; wait as it says when busy."""
        if self.weights is None:
            return True
        match await self.weights.fetch(model):
            case Result(tag="ok"):
                return True
            case Result(error=failure):
                ORDERS.labels("no_weights").inc()
                await sleep(failure.retry_after)
        return False

    def refused(self) -> bool:
        """Stop ordering if a newer sidecar has claimed the engine."""
        if self.claims is None or not self.claims.claimed:
            return True
        ORDERS.labels("superseded").inc()
        logger.warning("a newer sidecar orders the engine; this one does no more")
        return False

    async def close(self) -> None:
        """Stop reading claims; the port stays bound until the process ends."""
        if self.claims is not None:
            await self.claims.close()


def missing_models(declared: Iterable[str], loaded: Iterable[str]) -> tuple[str, ...]:
    """Return the declared models that the engine does not have."""
    have = frozenset(loaded)
    return tuple(model for model in declared if model not in have)


def _load_of(model: str) -> EngineAction:
    return {"action": "load", "model": model}
