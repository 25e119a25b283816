"""The command line: what a shell sees."""
