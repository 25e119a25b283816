"""Console commands, one in each module."""
