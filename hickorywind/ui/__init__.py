"""Offer the command-line tool ``hickorywind``."""
