"""Start and planned stop of a process."""

from asyncio import Event, get_running_loop, run
from collections.abc import Awaitable, Callable
from gc import freeze
from logging import getLogger

from clementinebend_transport.stop_signals import STOP_SIGNALS, release_stop_signals

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_BAD_SETTINGS = 2
EXIT_STOP_INCOMPLETE = 3
"""Requests were still in progress when the time for the stop ran out."""

logger = getLogger(__name__)

Main = Callable[[Event], Awaitable[int]]
"""The work of a process: it ends itself in order once the event is set."""


def run_until_stopped(main: Main) -> int:
    """Run ``main`` to its end and return its exit code.

    A signal asks for a planned stop by setting the event; further signals
    change nothing, so that no request in progress is cut off. Objects that
    exist before the start are excluded from garbage collection: otherwise each
    full collection would delay the event loop.
    """
    freeze()
    return run(_run_with_signals(main))


async def _run_with_signals(main: Main) -> int:
    stop = Event()
    loop = get_running_loop()
    for signal in STOP_SIGNALS:
        loop.add_signal_handler(signal, _on_signal, stop, signal.name)
    release_stop_signals()
    return await main(stop)


def _on_signal(stop: Event, signal_name: str) -> None:
    if stop.is_set():
        return
    logger.info("planned stop begins", extra={"signal": signal_name})
    stop.set()
