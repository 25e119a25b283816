"""Runs a model engine."""

from fire import Fire

from clementinebend_standins.apps.batcher import EngineFaults
from clementinebend_standins.apps.engine import EngineSettings, engine_handler
from clementinebend_standins.http_app import serve_until_stopped
from clementinebend_standins.models.engine import EngineLimits


def command(
    model: str | tuple[str, ...],
    host: str = "127.0.0.1",
    port: int = 0,
    slots: int = 8,
    step_ms: float = 5.0,
    prefill_tokens_per_step: int = 512,
    cache_blocks: int = 4096,
    tokens_per_chunk: int = 4,
    report_lag_ms: int = 0,
    fenced: bool = False,
) -> None:
    """Serve one model, or several with commas between them, until SIGTERM."""
    models = tuple(model.split(",")) if isinstance(model, str) else tuple(model)
    limits = EngineLimits(slots, prefill_tokens_per_step, cache_blocks)
    settings = EngineSettings(models, limits, tokens_per_chunk, report_lag_ms, fenced)
    handler = engine_handler(settings, EngineFaults(step_ms=step_ms))
    raise SystemExit(serve_until_stopped(handler, host, port))


def main() -> None:
    """Run from the command line."""
    Fire(command)
