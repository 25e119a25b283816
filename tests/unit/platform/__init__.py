"""Tests of the platform adapter."""
