"""HTTP by h11, msgpack message streams, settings, logs and metrics."""

__version__ = "0.1.0"
