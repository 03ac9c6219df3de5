"""Runner of an experiment's variants, each against a fresh site."""

from __future__ import annotations

import asyncio
import logging
import random
import tempfile
from datetime import timedelta
from pathlib import Path

from hickorywind.configuration.model import Service
from hickorywind.util.clock import Clock, MonotonicClock
from hickorywind_bench.experiment import Experiment, Variant
from hickorywind_bench.faults import inject_faults
from hickorywind_bench.load import LoadPlan, create_table, run_load
from hickorywind_bench.outcome import ExperimentOutcome, RunOutcome, summarise_stream
from hickorywind_bench.scraping import read_replica_share
from standins.cluster import BackendBehavior, Cluster, ClusterError, DaemonVariant
from standins.demo import wait_until_served

logger = logging.getLogger(__name__)

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
_BASELINE = DaemonVariant(reads_at_primary=True, fifo_queue=True, fixed_failover_timeout_ms=5_000)


def run_experiment(experiment: Experiment) -> ExperimentOutcome:
    """Run every variant ``repeat`` times, alternating, and return all outcomes."""
    runs = []
    for run in range(experiment.repeat):
        for variant in experiment.variants:
            logger.info("run_started", extra={"variant": variant.value, "run": run})
            runs.append(_run_variant(experiment, variant, run))
    return ExperimentOutcome(experiment, tuple(runs))


def _run_variant(experiment: Experiment, variant: Variant, run: int) -> RunOutcome:
    site = experiment.site
    faults = BackendBehavior(
        apply_lag_ms=site.apply_lag_ms,
        statement_time_ms=site.statement_time_ms,
        replication_relays=site.replication_relays,
    )
    with tempfile.TemporaryDirectory(prefix="hickorywind-bench-") as folder:
        cluster = Cluster.from_script(
            EXAMPLES / f"{site.example}.py",
            Path(folder),
            site.hosts_per_zone,
            faults,
            random.Random(experiment.seed + run),
            _BASELINE if variant is Variant.BASELINE else DaemonVariant(),
        )
        try:
            cluster.start()
            wait_until_served(cluster)
            return asyncio.run(_measure(experiment, variant, run, cluster))
        finally:
            _stop(cluster)


def _stop(cluster: Cluster) -> None:
    try:
        cluster.stop()
    except ClusterError as error:
        # Expected: processes that the experiment killed or froze don't stop cleanly.
        logger.debug("site_stopped", extra={"detail": str(error)})


async def _measure(
    experiment: Experiment, variant: Variant, run: int, cluster: Cluster
) -> RunOutcome:
    clock = MonotonicClock()
    service = _pick_service(experiment, cluster)
    plan = LoadPlan(
        cluster.entries,
        service.name,
        timedelta(seconds=experiment.warm_up_seconds),
        timedelta(seconds=experiment.duration_seconds),
        experiment.seed + run,
    )
    await create_table(plan)
    injecting = asyncio.create_task(_inject(experiment, cluster, service, plan, clock))
    started, records = await run_load(plan, experiment.streams, clock)
    await injecting
    share = await asyncio.to_thread(read_replica_share, cluster, service.name)
    outcomes = tuple(summarise_stream(record, started, plan.duration) for record in records)
    return RunOutcome(variant, run, share, outcomes)


def _pick_service(experiment: Experiment, cluster: Cluster) -> Service:
    services = cluster.configuration.services
    if experiment.service is None:
        return services[0]
    return next(service for service in services if service.name == experiment.service)


async def _inject(
    experiment: Experiment, cluster: Cluster, service: Service, plan: LoadPlan, clock: Clock
) -> None:
    # The load starts only after its connections are open, so faults come slightly early relative
    # to the measurement. Gaps are unaffected, as they are measured between answers.
    started = clock.now() + plan.warm_up
    await inject_faults(experiment.faults, cluster, service, started, clock)
