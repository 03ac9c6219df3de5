"""Log events and count what happens."""
