"""Command of the soak: ``python -m soak --seed N --minutes M --hosts K``."""

from __future__ import annotations

import argparse
import asyncio
import logging
import sys
from dataclasses import replace
from pathlib import Path

from soak.plan import Plan
from soak.report import Report
from soak.run import SoakRun


def main() -> int:
    """Run one seed after the other and return 1 if any has a finding."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, required=True, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds")
    parser.add_argument("--minutes", type=float, default=0.4, help="time with faults per seed")
    parser.add_argument("--hosts", type=int, default=4, choices=(2, 3, 4, 5))
    parser.add_argument("--out", type=Path, default=Path("out/soak"), help="folder of the reports")
    arguments = parser.parse_args()
    # Requests of hosts that end are no events of the soak.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    failed = []
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        plan = Plan.from_seed(seed, arguments.minutes * 60, arguments.hosts)
        folder = arguments.out / f"seed-{seed}"
        report = run_plan(plan, arguments.minutes * 60, folder)
        report.write(folder)
        print(report.to_text(), flush=True)
        failed += [seed] if report.findings else []
    if arguments.seeds > 1:
        print(f"{arguments.seeds} seeds, {len(failed)} with findings: {failed}")
    return 1 if failed else 0


def run_plan(plan: Plan, duration_s: float, folder: Path) -> Report:
    """Play a plan for at least ``duration_s``, with logs in ``folder``, and return its report."""
    folder.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        log.unlink()  # of an earlier run of the same seed
    return asyncio.run(_play(plan, duration_s, folder))


async def _play(plan: Plan, duration_s: float, folder: Path) -> Report:
    run = SoakRun(plan, duration_s, folder)
    await run.run()
    started_s = run.checker.started_s
    answered = [each for caller in run.callers for each in caller.answered]
    return Report(
        plan,
        duration_s,
        tuple(replace(each, at_s=each.at_s - started_s) for each in answered),
        tuple(run.checker.findings),
        run.checker.stray_count,
        run.rolled_back_count,
        run.promotion_count,
    )


if __name__ == "__main__":
    sys.exit(main())
