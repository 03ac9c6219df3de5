"""Randomized soak: real host processes under faults that are injected from outside them."""
