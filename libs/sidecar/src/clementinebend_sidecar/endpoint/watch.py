"""Asks a model engine for its load and its cache events, again and again.

An engine that does not answer is left as it was last seen: runs find out for
themselves, and nothing is decided here.
"""

from asyncio import sleep

from expression import Result

from clementinebend_platform_client.engine import CacheChange, EngineClient, EngineLoad
from clementinebend_records.messages import CacheEvent
from clementinebend_sidecar.gate.events import CacheSeen, EngineSeen
from clementinebend_sidecar.runner import Tell

LOAD_SECONDS = 1.0
CACHE_SECONDS = 0.25
FIRST_SEQUENCE = 0


async def watch_load(engine: EngineClient, tell: Tell) -> None:
    """Tell the engine's step time and models every second."""
    while True:
        match await engine.load():
            case Result(tag="ok", ok=load):
                tell(_seen(load))
        await sleep(LOAD_SECONDS)


async def watch_cache(engine: EngineClient, endpoint: str, tell: Tell) -> None:
    """Tell new cache events under the engine's own numbers, gaps included."""
    since = FIRST_SEQUENCE
    while True:
        match await engine.cache_events(since):
            case Result(tag="ok", ok=changes) if changes:
                tell(CacheSeen(tuple(_event(endpoint, each) for each in changes)))
                since = max(change["sequence"] for change in changes)
        await sleep(CACHE_SECONDS)


def _seen(load: EngineLoad) -> EngineSeen:
    return EngineSeen(load["step_ms"], tuple(load["models"]))


def _event(endpoint: str, change: CacheChange) -> CacheEvent:
    stored, evicted = tuple(change["stored"]), tuple(change["evicted"])
    return CacheEvent(endpoint, change["sequence"], stored, evicted)
