"""Tests of clementinebend_transport."""
