"""Small programs that experiments start beside the fleet."""
