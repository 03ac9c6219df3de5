"""List the bounds of the latency histograms.

A service-level objective names one of these bounds, so that counting what was in time is exact.
"""

from __future__ import annotations

LATENCY_BOUNDS_MS = (
    1,
    2,
    5,
    10,
    20,
    30,
    50,
    75,
    100,
    150,
    200,
    300,
    500,
    750,
    1_000,
    2_000,
    5_000,
    10_000,
)
LATENCY_BOUNDS_SECONDS = tuple(bound / 1_000 for bound in LATENCY_BOUNDS_MS)
