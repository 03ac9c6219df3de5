"""Burn-rate reports on service-level objectives, and explanations of failed requests."""
