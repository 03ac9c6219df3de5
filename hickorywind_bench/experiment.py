"""Experiment files: a site, request streams, timed faults and policy variants."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

import msgspec
import yaml

from hickorywind.ids import Rank, ServiceName
from hickorywind.results import ResultCode, UserError


class StreamKind(Enum):
    """Kind of the requests of a stream."""

    READ = "read"
    WRITE = "write"


class FaultAction(Enum):
    """Fault that can be injected into a running site."""

    KILL_PRIMARY = "kill_primary"
    FREEZE_PRIMARY = "freeze_primary"
    CUT_PRIMARY = "cut_primary"
    FREEZE_STORE = "freeze_store"
    KILL_ENTRY = "kill_entry"
    KILL_POOL = "kill_pool"


class Variant(Enum):
    """Set of policies: hickorywind's own, or simple ones as a baseline."""

    HICKORYWIND = "hickorywind"
    BASELINE = "baseline"


class Stream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Stream of requests of one kind at a mean rate with Poisson arrivals.

    In a stream of reads, ``write_share`` of the requests write instead, by the same sessions.
    """

    name: str
    rank: Rank
    kind: StreamKind
    rate_per_second: float
    from_seconds: float = 0.0
    to_seconds: float | None = None
    max_staleness_ms: int | None = None
    timeout_ms: int = 2_000
    connections: int = 20
    write_share: float = 0.0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault to inject at a time after the start of the measurement."""

    at_seconds: float
    action: FaultAction


class Site(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Site that an experiment runs against."""

    example: str = "stepclean"
    hosts_per_zone: int = 1
    statement_time_ms: int = 0
    apply_lag_ms: int = 0
    replication_relays: bool = False


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of an experiment file.

    Requests are counted after ``warm_up_seconds``. Each variant runs ``repeat`` times, alternating
    with the others, with a different seed each time.
    """

    name: str
    duration_seconds: float
    streams: tuple[Stream, ...]
    site: Site = Site()
    faults: tuple[Fault, ...] = ()
    variants: tuple[Variant, ...] = (Variant.HICKORYWIND, Variant.BASELINE)
    warm_up_seconds: float = 2.0
    repeat: int = 1
    seed: int = 1
    service: ServiceName | None = None


def load_experiment(path: Path) -> Experiment:
    """Read an experiment file; raise ``UserError`` that names file and key."""
    try:
        return msgspec.convert(yaml.safe_load(path.read_text()), Experiment)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise UserError(ResultCode.SETTINGS_INVALID, f"{path}: {error}") from error
