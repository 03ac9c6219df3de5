"""Command line for measuring costs by fleet size: ``python -m hickorywind_bench.slopes NAME``."""

from __future__ import annotations

import argparse
import importlib
import logging
import os
import sys
from collections.abc import Sequence

from hickorywind_bench.slopes.table import Row, format_rows, write_rows

NAMES = (
    "directory",
    "membership",
    "hoursplit",
    "configuration",
    "groups",
    "poollinks",
    "freshness",
    "idle",
    "statements",
    "storm",
    "store",
    "platformlist",
    "metrics",
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Measure one slope, print its table and write its rows to ``out/``."""
    parser = argparse.ArgumentParser(prog="python -m hickorywind_bench.slopes", description=__doc__)
    parser.add_argument("name", choices=NAMES)
    parser.add_argument("--sizes", type=int, nargs="+", help="sizes other than the usual ones")
    parsed = parser.parse_args(arguments)
    logging.basicConfig(level=logging.ERROR)
    module = importlib.import_module(f"hickorywind_bench.slopes.{parsed.name}")
    sizes = tuple(parsed.sizes) if parsed.sizes else module.SIZES
    rows: list[Row] = []
    for row in module.measure(sizes):
        rows.append(row)
        print(" ".join(f"{key}={value}" for key, value in row.values.items()), file=sys.stderr)
    print(format_rows(rows))
    load = " ".join(f"{value:.1f}" for value in os.getloadavg())
    print(f"load average {load}, wrote {write_rows(parsed.name, rows)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
