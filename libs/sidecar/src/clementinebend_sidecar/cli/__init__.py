"""Command line of the sidecar."""
