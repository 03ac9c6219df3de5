"""Offer the few general helpers that have no better home."""
