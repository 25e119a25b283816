"""Measures how the cost of control grows with the size of the fleet."""
