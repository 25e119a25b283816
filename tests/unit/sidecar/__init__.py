"""Tests of the sidecar's pure parts."""
