"""Bucket bounds of the latency histograms.

The latency of a service-level objective has to be one of the few bounds of the per-service
histograms, so that the number of requests in time is exact. The finer bounds are used per rank
only: with hundreds of database services each further bound makes every scrape longer.
"""

from __future__ import annotations

_MS_PER_SECOND = 1_000

OBJECTIVE_BOUNDS_MS = (10, 20, 50, 100, 200, 300, 500, 1_000, 2_000, 5_000)
OBJECTIVE_BOUNDS_SECONDS = tuple(bound / _MS_PER_SECOND for bound in OBJECTIVE_BOUNDS_MS)

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
LATENCY_BOUNDS_SECONDS = tuple(bound / _MS_PER_SECOND for bound in LATENCY_BOUNDS_MS)
