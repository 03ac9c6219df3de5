"""Decide which work a backend server takes, when, and what is refused."""
