"""Command of the soak: ``python -m soak --seed N --minutes M --hosts K``."""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import secrets
import signal
import sys
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

from soak.plan import REQUESTED_THEMES, Plan, Theme
from soak.report import Report
from soak.run import MAX_HOST_COUNT, SoakRun

_SEEDS = Path(__file__).with_name("seeds.txt")
_MAX_SEED = 1_000_000


def main() -> int:
    """Play seeds, or plans of earlier reports, and return 1 if any has a finding."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed; by default drawn")
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds")
    parser.add_argument("--minutes", type=float, default=0.33, help="time with faults per seed")
    parser.add_argument("--hosts", type=int, default=4, choices=range(2, MAX_HOST_COUNT + 1))
    for theme in REQUESTED_THEMES:
        parser.add_argument(
            f"--{theme.name.lower()}",
            dest="requested",
            action="store_const",
            const=theme,
            help=f"play only {theme.value}",
        )
    parser.add_argument("--regressions", action="store_true", help="play soak/seeds.txt")
    parser.add_argument("--plan", type=Path, help="play the plan in a report.json")
    parser.add_argument("--out", type=Path, default=Path("out/soak"), help="folder of the reports")
    arguments = parser.parse_args()
    # Requests of hosts that end are no events of the soak.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    failed = []
    cases = list(_list_cases(arguments))
    for plan, duration_s in cases:
        folder = arguments.out / f"seed-{plan.seed}"
        report = run_plan(plan, duration_s, folder)
        report.write(folder)
        print(report.to_text(), flush=True)
        failed += [plan.seed] if report.findings else []
    print(f"{len(cases)} seeds, {len(failed)} with findings: {failed}")
    return 1 if failed else 0


def _list_cases(arguments: argparse.Namespace) -> Iterator[tuple[Plan, float]]:
    if arguments.plan is not None:
        document = json.loads(arguments.plan.read_text())
        yield Plan.from_document(document), document["duration_s"]
        return
    if arguments.regressions:
        for line in _SEEDS.read_text().splitlines():
            if line and not line.startswith("#"):
                seed, minutes, hosts, *options = line.partition("|")[0].split()
                duration_s = 60 * float(minutes)
                requested = Theme[options[0].upper()] if options else None
                plan = Plan.from_seed(int(seed), duration_s, int(hosts), requested=requested)
                yield plan, duration_s
        return
    first = secrets.randbelow(_MAX_SEED) if arguments.seed is None else arguments.seed
    for seed in range(first, first + arguments.seeds):
        duration_s = arguments.minutes * 60
        plan = Plan.from_seed(seed, duration_s, arguments.hosts, requested=arguments.requested)
        yield plan, duration_s


def run_plan(plan: Plan, duration_s: float, folder: Path) -> Report:
    """Play a plan for at least ``duration_s``, with logs in ``folder``, and return its report."""
    folder.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        log.unlink()  # of an earlier run of the same seed
    return asyncio.run(_play(plan, duration_s, folder))


async def _play(plan: Plan, duration_s: float, folder: Path) -> Report:
    # SIGTERM must not leave host processes behind.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    run = SoakRun(plan, duration_s, folder)
    await run.run()
    started_s = run.checker.started_s
    answered = [each for caller in run.callers for each in caller.answered]
    return Report(
        plan,
        duration_s,
        run.started_at,
        tuple(replace(each, at_s=each.at_s - started_s) for each in answered),
        tuple(run.checker.findings),
        run.checker.stray_count,
        run.rolled_back_count,
        run.promotion_count,
        run.checker.stalls.longest_s,
        sum(caller.announcement_count for caller in run.callers),
        tuple(cut.count_from(started_s) for cut in run.checker.cuts),
        dict(run.checker.statements.counts + run.checker.freshness.counts),
        dict(run.checker.state_counts),
    )


if __name__ == "__main__":
    sys.exit(main())
