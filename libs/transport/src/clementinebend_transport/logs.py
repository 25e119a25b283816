"""JSON log lines on standard error, for changes of state only."""

from enum import StrEnum
from logging import StreamHandler, getLogger

from pythonjsonlogger.json import JsonFormatter


class LogLevel(StrEnum):
    """The least level of the lines that a process writes."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


LOG_FIELDS = ("levelname", "name", "message")


def configure_logging(process: str, level: str = "INFO", incarnation: str = "") -> None:
    """Send all log lines of this process to standard error as JSON objects."""
    formatter = JsonFormatter(
        LOG_FIELDS,
        rename_fields={"levelname": "level", "name": "logger"},
        static_fields={"process": process, "incarnation": incarnation},
        timestamp="time",
    )
    handler = StreamHandler()
    handler.setFormatter(formatter)
    root = getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
