"""One module for each command of the bench."""
