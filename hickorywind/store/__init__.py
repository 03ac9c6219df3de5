"""Reach the platform's key-value store."""
