"""What is asked of the endpoint, and what its answers mean."""
