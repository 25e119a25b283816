"""Tests of the platform adapter and its commands."""
