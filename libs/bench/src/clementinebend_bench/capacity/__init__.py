"""Works the capacity page out from measured slopes."""
