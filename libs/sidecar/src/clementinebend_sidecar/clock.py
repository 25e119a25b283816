"""The task that lets time pass for the gate."""

from asyncio import sleep

from clementinebend_sidecar.configuration import ConfigurationWatch
from clementinebend_sidecar.gate.events import Tick
from clementinebend_sidecar.owner import GateOwner

TICK_SECONDS = 1.0


async def tick_forever(
    owner: GateOwner, configuration: ConfigurationWatch | None
) -> None:
    """Tell the gate of each second, and of the declarations in force."""
    while True:
        await sleep(TICK_SECONDS)
        owner.tell(Tick())
        if configuration is not None:
            for event in configuration.look():
                owner.tell(event)
