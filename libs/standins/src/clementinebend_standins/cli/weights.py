"""Runs the weight store."""

from fire import Fire

from clementinebend_standins.apps.weights import weights_handler
from clementinebend_standins.http_app import serve_until_stopped


def command(
    host: str = "127.0.0.1",
    port: int = 0,
    size_bytes: int = 16_000_000_000,
    loads_per_second: int = 10,
) -> None:
    """Serve every model at one size until SIGTERM."""
    handler = weights_handler(size_bytes, loads_per_second)
    raise SystemExit(serve_until_stopped(handler, host, port))


def main() -> None:
    """Run from the command line."""
    Fire(command)
