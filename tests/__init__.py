"""Tests of hickorywind, in folders that mirror the packages.

Properties are checked on the same examples in every run, without limits of wall-clock time, which
would depend on the load of the machine. ``make fuzz`` checks them on new examples.
"""

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "repeatable", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.register_profile("fuzz", settings.get_profile("repeatable"), derandomize=False)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "repeatable"))
