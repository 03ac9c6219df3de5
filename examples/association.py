"""Configure the Order and Kiln Ledger: kiln bookings, crock orders and stock."""

import os
from datetime import timedelta

from hickorywind.configuration.builder import ConfigurationBuilder, ServiceBuilder
from hickorywind.ids import Rank

BASE_PORT = int(os.environ.get("HICKORYWIND_EXAMPLE_BASE_PORT", "26100"))
ZONES = ("howrah", "barasat", "matigara")
SLOTS = 5
CONNECTIONS = 60


def milliseconds(value: int) -> timedelta:
    """Build a duration from milliseconds."""
    return timedelta(milliseconds=value)


def add_instances(service: ServiceBuilder, name: str, number: int) -> None:
    """Add one backend server in each availability zone."""
    for index, zone in enumerate(ZONES):
        address = f"127.0.0.1:{BASE_PORT + 10 * number + index}"
        service.instance(f"{name}-{zone}", zone, address, SLOTS, CONNECTIONS)


system = ConfigurationBuilder("Order and Kiln Ledger")
system.zone("howrah", region="kolkata")
system.zone("barasat", region="kolkata")
system.zone("matigara", region="siliguri")

# Bookings and payments use transactions, and reads of free slots must not be stale.
kiln_ledger = system.service("kiln-ledger")
add_instances(kiln_ledger, "kiln-ledger", 0)
kiln_ledger.rank(Rank.URGENT, floor_percent=40, timeout=milliseconds(5_000))
kiln_ledger.rank(Rank.STANDARD, floor_percent=40, timeout=milliseconds(5_000))
kiln_ledger.rank(Rank.BACKGROUND, floor_percent=20, timeout=milliseconds(30_000))
kiln_ledger.read_kind("free-slots", max_staleness=milliseconds(0))
kiln_ledger.read_kind("calendar", milliseconds(1_000), fallback_staleness=milliseconds(5_000))
kiln_ledger.objective(Rank.URGENT, target_percent=99.9, latency=milliseconds(300))
kiln_ledger.objective(Rank.STANDARD, target_percent=99.0, latency=milliseconds(500))
kiln_ledger.transactions(open_limit=20, idle_timeout=milliseconds(10_000))

order_ledger = system.service("order-ledger")
add_instances(order_ledger, "order-ledger", 1)
order_ledger.rank(Rank.URGENT, floor_percent=40, timeout=milliseconds(5_000))
order_ledger.rank(Rank.STANDARD, floor_percent=40, timeout=milliseconds(5_000))
order_ledger.rank(Rank.BACKGROUND, floor_percent=20, timeout=milliseconds(30_000))
order_ledger.read_kind("order-status", max_staleness=milliseconds(500))
order_ledger.objective(Rank.URGENT, target_percent=99.9, latency=milliseconds(300))
order_ledger.objective(Rank.STANDARD, target_percent=99.5, latency=milliseconds(500))
order_ledger.transactions(open_limit=20, idle_timeout=milliseconds(10_000))

# Frequent reads of glazes and stock tolerate stale data, so replicas can serve nearly all of them.
stock_ledger = system.service("stock-ledger")
add_instances(stock_ledger, "stock-ledger", 2)
stock_ledger.rank(Rank.URGENT, floor_percent=20, timeout=milliseconds(3_000))
stock_ledger.rank(Rank.STANDARD, floor_percent=60, timeout=milliseconds(5_000))
stock_ledger.rank(Rank.BACKGROUND, floor_percent=20, timeout=milliseconds(30_000))
stock_ledger.read_kind("stock", milliseconds(2_000), fallback_staleness=milliseconds(10_000))
stock_ledger.read_kind("glazes", max_staleness=milliseconds(60_000))
stock_ledger.objective(Rank.STANDARD, target_percent=99.5, latency=milliseconds(300))
stock_ledger.objective(Rank.BACKGROUND, target_percent=95.0, latency=milliseconds(5_000))

system.limits(
    retry_budget_percent=10,
    link_bytes_per_second=200_000,
    caller_connections_per_entry=2_000,
)

configuration = system.build()
