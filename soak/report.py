"""Report of one run: JSON, a short text, and a plot of served operations."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from datetime import datetime
from pathlib import Path

from soak.callers import Answered
from soak.checks import MAX_DETAILS, CutKind, CutRequest, Finding
from soak.plan import Fault, Plan

_BUCKET_S = 0.25


@dataclass(frozen=True)
class Report:
    """Results of one run."""

    plan: Plan
    duration_s: float
    started_at: datetime  # second 0 of the run; the logs show this clock
    answered: tuple[Answered, ...]  # times count from the start of the run
    findings: tuple[Finding, ...]
    stray_count: int
    rolled_back_count: int
    promotion_count: int
    longest_stall_s: float  # of the soak itself
    announcement_count: int = 0  # sessions whose host announced its end
    cuts: tuple[CutRequest, ...] = ()
    statement_counts: Mapping[str, int] = field(default_factory=dict)
    state_counts: Mapping[str, int] = field(default_factory=dict)  # states of the platform

    def counts(self) -> dict[str, int]:
        """Return the number of operations by how they ended."""
        served = sum(each.is_success for each in self.answered)
        outcomes = Counter(each.outcome.value for each in self.answered if not each.is_success)
        return {"served": served, **outcomes}

    def cut_counts(self) -> dict[CutKind, int]:
        """Return the number of requests without a complete answer, also of killed processes."""
        counts = Counter(cut.kind for cut in self.cuts)
        return {kind: counts[kind] for kind in CutKind}

    def to_text(self) -> str:
        """Return a few lines for the terminal."""
        plan = self.plan
        cuts = ", ".join(f"{count} {kind.value}" for kind, count in self.cut_counts().items())
        lines = [
            f"seed {plan.seed}: {plan.host_count} hosts with {plan.idle_callers} idle callers each,"
            f" {plan.max_connections} connections for each server, {plan.describe_harshness()},"
            f" {self.duration_s:.0f} s from "
            f"{self.started_at:%H:%M:%S.%f}, "
            f"{len(plan.faults)} faults ({plan.theme.value}), "
            f"{self.promotion_count} orders to promote, {self.counts()}, "
            f"{self.stray_count} writes at replaced primaries, "
            f"{self.rolled_back_count} rolled back, soak stalled {self.longest_stall_s:.2f} s, "
            f"{len(self.findings)} findings",
            f"  {self.announcement_count} ends announced; requests without an answer: {cuts}",
        ]
        statements = sorted(self.statement_counts.items())
        lines.append("  " + ", ".join(f"{count} {name}" for name, count in statements))
        if self.state_counts:
            states = sorted(self.state_counts.items())
            lines.append("  states: " + "; ".join(f"{count} {name}" for name, count in states))
        by_promise = Counter(finding.promise for finding in self.findings)
        lines += [f"  {count} x {promise}" for promise, count in by_promise.items()]
        lines += [f"    {each.at_s:.3f} {each.detail}" for each in self.findings[:MAX_DETAILS]]
        return "\n".join(lines)

    def write(self, folder: Path) -> None:
        """Write ``report.json``, ``report.txt`` and ``report.png``."""
        document = {
            "seed": self.plan.seed,
            "hosts": self.plan.host_count,
            "duration_s": self.duration_s,
            "started_at": self.started_at.isoformat(),
            "theme": self.plan.theme.value,
            "idle_callers": self.plan.idle_callers,
            "max_connections": self.plan.max_connections,
            "slots": self.plan.slots,
            "runs_received_later": self.plan.runs_received_later,
            "takes_orders_late": self.plan.takes_orders_late,
            "services": self.plan.services,
            "faults": [_fault_document(fault) for fault in self.plan.faults],
            "counts": self.counts(),
            "promotions": self.promotion_count,
            "writes_at_replaced_primaries": self.stray_count,
            "rolled_back": self.rolled_back_count,
            "longest_stall_s": self.longest_stall_s,
            "announced_ends": self.announcement_count,
            "cut_counts": {kind.name: count for kind, count in self.cut_counts().items()},
            "statement_counts": dict(self.statement_counts),
            "state_counts": dict(self.state_counts),
            "cuts": [{**asdict(cut), "kind": cut.kind.name} for cut in self.cuts],
            "findings": [asdict(finding) for finding in self.findings],
        }
        (folder / "report.json").write_text(json.dumps(document, indent=1) + "\n")
        (folder / "report.txt").write_text(self.to_text() + "\n")
        self._plot(folder / "report.png")

    def _plot(self, path: Path) -> None:
        # Imported here: only a report needs it, and it takes long.
        from matplotlib.figure import Figure

        figure = Figure(figsize=(12, 6), layout="constrained")
        rates, marks = figure.subplots(2, sharex=True)
        for is_success, label in ((True, "served"), (False, "not served")):
            times = [each.at_s for each in self.answered if each.is_success is is_success]
            buckets = Counter(int(at_s / _BUCKET_S) for at_s in times)
            numbers = range(int(max([*times, 0]) / _BUCKET_S) + 1)
            values = [buckets[number] / _BUCKET_S for number in numbers]
            rates.step([number * _BUCKET_S for number in numbers], values, label=label)
        rates.set_ylabel("operations per second")
        rates.legend()
        for row, fault in enumerate(self.plan.faults):
            marks.barh(row, fault.for_s, left=fault.at_s)
            marks.text(fault.at_s, row, fault.kind.name.lower(), fontsize=6, va="center")
        for finding in self.findings:
            marks.axvline(finding.at_s, color="red", linewidth=0.5)
        marks.set_xlabel("seconds of the run; red: a finding")
        figure.savefig(path, dpi=110)


def _fault_document(fault: Fault) -> dict:
    return {**asdict(fault), "kind": fault.kind.name, "link_end": fault.link_end.name}
