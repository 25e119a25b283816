"""Adapters to the platform: log, hosts, engines, services, weight store."""

__version__ = "0.1.0"
