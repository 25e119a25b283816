"""Tests of clementinebend_routing."""
