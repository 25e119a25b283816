"""Runs a plain service."""

from fire import Fire

from clementinebend_standins.apps.service import service_handler
from clementinebend_standins.http_app import serve_until_stopped


def command(host: str = "127.0.0.1", port: int = 0) -> None:
    """Serve until SIGTERM; port 0 picks a free one."""
    raise SystemExit(serve_until_stopped(service_handler(), host, port))


def main() -> None:
    """Run from the command line."""
    Fire(command)
