"""Pure decisions on live and leaving hosts and on engine orders."""

__version__ = "0.1.0"
