"""Configure Stepclean Dispatch: sign-offs, crew boards and service history."""

import os
from datetime import timedelta

from hickorywind.configuration.builder import ConfigurationBuilder, ServiceBuilder
from hickorywind.ids import Rank

BASE_PORT = int(os.environ.get("HICKORYWIND_EXAMPLE_BASE_PORT", "26100"))
ZONES = ("adum", "suame", "tema")
SLOTS = 3
CONNECTIONS = 20


def milliseconds(value: int) -> timedelta:
    """Build a duration from milliseconds."""
    return timedelta(milliseconds=value)


def add_instances(service: ServiceBuilder, name: str, number: int) -> None:
    """Add one backend server in each availability zone."""
    for index, zone in enumerate(ZONES):
        address = f"127.0.0.1:{BASE_PORT + 10 * number + index}"
        service.instance(f"{name}-{zone}", zone, address, SLOTS, CONNECTIONS)


system = ConfigurationBuilder("Stepclean Dispatch")
system.zone("adum", region="ashanti")
system.zone("suame", region="ashanti")
system.zone("tema", region="greater-accra")

# Night crews bill on sign-offs, so these have priority; an invoice check needs current data.
sign_offs = system.service("sign-offs")
add_instances(sign_offs, "sign-offs", 0)
sign_offs.rank(Rank.URGENT, floor_percent=34, timeout=milliseconds(5_000))
sign_offs.rank(Rank.STANDARD, floor_percent=33, timeout=milliseconds(5_000))
sign_offs.rank(Rank.BACKGROUND, floor_percent=10, timeout=milliseconds(20_000))
sign_offs.read_kind("invoice-check", max_staleness=milliseconds(0))
sign_offs.read_kind("shift-list", milliseconds(500), fallback_staleness=milliseconds(2_000))
sign_offs.objective(Rank.URGENT, target_percent=99.9, latency=milliseconds(200))
sign_offs.objective(Rank.STANDARD, target_percent=99.0, latency=milliseconds(500))

# A stale board sends a crew back to a finished unit.
crew_boards = system.service("crew-boards")
add_instances(crew_boards, "crew-boards", 1)
crew_boards.rank(Rank.URGENT, floor_percent=20, timeout=milliseconds(3_000))
crew_boards.rank(Rank.STANDARD, floor_percent=50, timeout=milliseconds(5_000))
crew_boards.rank(Rank.BACKGROUND, floor_percent=10, timeout=milliseconds(20_000))
crew_boards.read_kind("board", max_staleness=milliseconds(1_000))
crew_boards.objective(Rank.URGENT, target_percent=99.5, latency=milliseconds(200))
crew_boards.objective(Rank.STANDARD, target_percent=99.0, latency=milliseconds(300))

# Facility managers read history before audits: bounded staleness is acceptable.
service_history = system.service("service-history")
add_instances(service_history, "service-history", 2)
service_history.rank(Rank.URGENT, floor_percent=20, timeout=milliseconds(3_000))
service_history.rank(Rank.STANDARD, floor_percent=34, timeout=milliseconds(10_000))
service_history.rank(Rank.BACKGROUND, floor_percent=34, timeout=milliseconds(60_000))
service_history.read_kind("audit", milliseconds(2_000), fallback_staleness=milliseconds(10_000))
service_history.read_kind("trend", max_staleness=milliseconds(60_000))
service_history.objective(Rank.STANDARD, target_percent=99.0, latency=milliseconds(1_000))

system.limits(
    retry_budget_percent=10,
    link_bytes_per_second=200_000,
    caller_connections_per_entry=2_000,
)

configuration = system.build()
