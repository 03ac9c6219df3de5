"""Measure hickorywind under load and faults, and check recorded histories against its promises."""
