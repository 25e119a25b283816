"""The command ``clementinebend-sidecar``."""

import sys
from asyncio import Event
from logging import getLogger

from expression import Result
from fire import Fire

from clementinebend_records.identifiers import new_incarnation
from clementinebend_sidecar.exceptions import SidecarError
from clementinebend_sidecar.process import run_sidecar
from clementinebend_sidecar.settings import SidecarSettings
from clementinebend_transport.lifecycle import (
    EXIT_BAD_SETTINGS,
    EXIT_FAILURE,
    run_until_stopped,
)
from clementinebend_transport.logs import configure_logging
from clementinebend_transport.settings import load_settings

logger = getLogger(__name__)


def command(settings: str) -> None:
    """Serve as the sidecar that the YAML file ``settings`` describes."""
    match load_settings(settings, SidecarSettings):
        case Result(tag="ok", ok=loaded):
            raise SystemExit(serve(loaded))
        case Result(error=error):
            sys.stderr.write(f"{error}\n")
            raise SystemExit(EXIT_BAD_SETTINGS)


def serve(settings: SidecarSettings) -> int:
    """Serve until the process is told to leave; return its exit code."""
    incarnation = new_incarnation(settings.name)
    configure_logging("sidecar", settings.log_level, incarnation)

    async def main(stop: Event) -> int:
        return await run_sidecar(settings, incarnation, stop)

    try:
        return run_until_stopped(main)
    except SidecarError as error:
        logger.error("%s", error)
        return EXIT_FAILURE


def main() -> None:
    """Run from the command line."""
    Fire(command)
