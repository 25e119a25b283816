"""Tests of the stand-ins: their models and their HTTP faces."""
