"""The endpoint that the settings name, and the tasks that watch it."""

from asyncio import Task, create_task

from clementinebend_declarations.models import ServiceKind
from clementinebend_platform_client.engine import EngineClient
from clementinebend_platform_client.service import ServiceClient
from clementinebend_sidecar.endpoint.model import ModelEndpoint
from clementinebend_sidecar.endpoint.plain import PlainEndpoint
from clementinebend_sidecar.endpoint.watch import watch_cache, watch_load
from clementinebend_sidecar.owner import GateOwner
from clementinebend_sidecar.runner import Endpoint
from clementinebend_sidecar.settings import SidecarSettings
from clementinebend_transport.http_client import HttpClient


def endpoint_of(settings: SidecarSettings, http: HttpClient) -> Endpoint:
    """Return the back end that executes runs."""
    if settings.kind is ServiceKind.PLAIN:
        return PlainEndpoint(ServiceClient(settings.endpoint_url, http))
    return ModelEndpoint(EngineClient(settings.endpoint_url, http))


def watches_of(
    settings: SidecarSettings, http: HttpClient, owner: GateOwner
) -> tuple[Task[None], ...]:
    """Start the tasks that ask a model engine for its load and cache events."""
    if settings.kind is ServiceKind.PLAIN:
        return ()
    engine = EngineClient(settings.endpoint_url, http)
    return (
        create_task(watch_load(engine, owner.tell), name="engine load"),
        create_task(
            watch_cache(engine, settings.name, owner.tell), name="cache events"
        ),
    )
