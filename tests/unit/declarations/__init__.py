"""Tests of the declarations library."""
