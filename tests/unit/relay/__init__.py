"""Tests of the direct path."""
