"""The command line for operators."""

__version__ = "0.1.0"
