"""Logs, metrics and the planned stop of a process."""

import gc
import os
from asyncio import Event, sleep
from logging import getLogger
from signal import SIGINT, SIGTERM

import pytest
from msgspec.json import decode

from clementinebend_transport.lifecycle import EXIT_STOP_INCOMPLETE, run_until_stopped
from clementinebend_transport.logs import configure_logging
from clementinebend_transport.metrics import counter, render_metrics


def test_log_lines_are_json_with_all_fields(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    root = getLogger()
    monkeypatch.setattr(root, "handlers", [])
    monkeypatch.setattr(root, "level", root.level)
    configure_logging("entry-1", "info", "entry-1#ab")
    getLogger("a.module").info("state is %s", "open", extra={"peer": "b"})
    getLogger("a.module").debug("left out")
    (line,) = capsys.readouterr().err.splitlines()
    fields = decode(line)
    assert fields.pop("time")
    assert fields == {
        "level": "INFO",
        "logger": "a.module",
        "process": "entry-1",
        "incarnation": "entry-1#ab",
        "message": "state is open",
        "peer": "b",
    }


def test_metrics_have_one_prefix_and_are_rendered() -> None:
    name = "clementinebend_test_total"
    counter(name, "A test.", ("kind",)).labels("a").inc()
    counter(name, "A test.", ("kind",)).labels("a").inc()
    response = render_metrics()
    assert isinstance(response.body, bytes)
    assert b'clementinebend_test_total{kind="a"} 2.0\n' in response.body
    with pytest.raises(ValueError, match="clementinebend_"):
        counter("other_total", "A test.")


def test_the_first_signal_asks_for_a_stop_and_further_ones_cut_nothing() -> None:
    async def main(stop: Event) -> int:
        os.kill(os.getpid(), SIGTERM)
        await stop.wait()
        for signal in (SIGTERM, SIGINT, SIGINT):
            os.kill(os.getpid(), signal)
            await sleep(0)
        return EXIT_STOP_INCOMPLETE

    assert run_until_stopped(main) == EXIT_STOP_INCOMPLETE


def test_the_objects_of_the_start_are_left_out_of_garbage_collections() -> None:
    """Guards against collections that hold up the event loop for some 30 ms."""

    async def main(stop: Event) -> int:
        return gc.get_freeze_count()

    gc.unfreeze()
    known = len(gc.get_objects())
    try:
        assert run_until_stopped(main) > 0.9 * known
    finally:
        gc.unfreeze()
