"""Run experiments from the command line."""

from __future__ import annotations

import argparse
import logging
import sys
from collections.abc import Sequence
from pathlib import Path

from hickorywind.results import UserError
from hickorywind_bench.experiment import load_experiment
from hickorywind_bench.outcome import format_table, write_outcome
from hickorywind_bench.plot import draw_outcome
from hickorywind_bench.running import run_experiment

_EXAMPLE = "example:\n  hickorywind-bench experiments/failover-kill.yaml --out out/"


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the experiments named and print their tables."""
    parser = argparse.ArgumentParser(
        prog="hickorywind-bench",
        description=__doc__,
        epilog=_EXAMPLE,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("experiments", nargs="+", type=Path, metavar="FILE")
    parser.add_argument("--out", type=Path, default=Path("out"), help="folder for JSON and plots")
    options = parser.parse_args(arguments)
    logging.basicConfig(level=logging.WARNING)
    for path in options.experiments:
        try:
            _run(path, options.out)
        except UserError as error:
            print(f"hickorywind-bench: {error}", file=sys.stderr)
            return 1
    return 0


def _run(path: Path, folder: Path) -> None:
    experiment = load_experiment(path)
    outcome = run_experiment(experiment)
    write_outcome(outcome, folder / f"{experiment.name}.json")
    draw_outcome(outcome, folder / f"{experiment.name}.png")
    print(f"## {experiment.name}\n\n{format_table(outcome.runs)}\n", flush=True)


if __name__ == "__main__":
    sys.exit(main())
