"""Pure functions for host liveness, host selection and engine fencing."""

__version__ = "0.1.0"
