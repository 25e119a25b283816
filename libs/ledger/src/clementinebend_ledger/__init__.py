"""Replay of the budget and claim logs, and a holder's use of its grants; no I/O."""

__version__ = "0.1.0"
