"""Run a demonstration cluster with the configuration of an example, by default Stepclean.

With ``--check``, run a golden session through two entries, print its transcript and exit.
"""

from __future__ import annotations

import argparse
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

import psycopg

from hickorywind.ids import Address, ServiceName
from standins.cluster import Cluster, ClusterError

_EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
_READY_TIMEOUT_SECONDS = 60.0
_RETRY_SECONDS = 0.2


def connect(address: Address, service: ServiceName, **options: str) -> psycopg.Connection:
    """Open a caller connection; ``options`` are startup options without ``hickorywind.``."""
    settings = " ".join(f"-c hickorywind.{name}={value}" for name, value in options.items())
    return psycopg.connect(
        host=address.host,
        port=address.port,
        dbname=service,
        user="demo",
        options=settings or None,
        autocommit=True,
        connect_timeout=5,
        sslmode="disable",
        gssencmode="disable",
    )


def wait_until_served(cluster: Cluster) -> None:
    """Wait until every entry serves every service; raise ``ClusterError`` after 60 s."""
    deadline = time.monotonic() + _READY_TIMEOUT_SECONDS
    for address in cluster.entries:
        for service in cluster.configuration.services:
            _wait_for_answer(address, service.name, deadline)


def _wait_for_answer(address: Address, service: ServiceName, deadline: float) -> None:
    while True:
        try:
            with connect(address, service) as connection:
                connection.execute("/* hickorywind max_staleness_ms=0 */ SELECT 1")
            return
        except psycopg.Error as error:
            if time.monotonic() > deadline:
                raise ClusterError(f"{service} at {address}: {error}") from error
            time.sleep(_RETRY_SECONDS)


def run_golden_session(cluster: Cluster) -> list[str]:
    """Write through one entry, read through another and return the lines of the transcript."""
    service = cluster.configuration.services[0].name
    first, second = cluster.entries[0], cluster.entries[1]
    lines = []
    with connect(first, service, session_id="golden") as writer:
        writer.execute("CREATE TABLE IF NOT EXISTS steps (unit TEXT, step INTEGER)")
        written = writer.execute("INSERT INTO steps VALUES ('mall-3', 17), ('mall-3', 18)")
        lines.append(f"write: {written.statusmessage}")
        token = writer.info.parameter_status("hickorywind.token")
        lines.append(f"token: {'given' if token else 'missing'}")
        writer.execute("BEGIN")
        writer.execute("INSERT INTO steps VALUES ('mall-3', 99)")
        writer.execute("ROLLBACK")
    with connect(second, service, token=token or "") as reader:
        rows = reader.execute("SELECT step FROM steps WHERE unit = 'mall-3' ORDER BY step")
        lines.append(f"read with token: {rows.fetchall()}")
    with connect(second, service, session_id="golden") as reader:
        rows = reader.execute("SELECT count(*) FROM steps WHERE unit = 'mall-3'")
        lines.append(f"read with session id: {rows.fetchall()}")
        try:
            reader.execute("COPY steps TO STDOUT")
        except psycopg.Error as error:
            lines.append(f"refused: {error.sqlstate} {error.diag.message_primary}")
        try:
            reader.execute("SELECT * FROM no_such_table")
        except psycopg.Error as error:
            lines.append(f"backend error: {error.sqlstate}")
    return lines


def ready_line(cluster: Cluster) -> str:
    """Return the line with the addresses of entries, a controller and the store."""
    callers = ",".join(str(address) for address in cluster.entries)
    services = ",".join(service.name for service in cluster.configuration.services)
    controller = cluster.hosts[0].controller
    return (
        f"ready caller={callers} services={services} "
        f"controller={controller} store={cluster.store_address}"
    )


def main() -> int:
    """Run the demonstration until SIGINT or SIGTERM, or run its check."""
    parser = argparse.ArgumentParser(prog="python -m standins.demo", description=__doc__)
    parser.add_argument("--check", action="store_true", help="run a golden session and exit")
    parser.add_argument("--example", default="stepclean", help="name of a script in examples/")
    parser.add_argument("--hosts-per-zone", type=int, default=1)
    arguments = parser.parse_args()
    stopping = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopping.set())
    script = _EXAMPLES / f"{arguments.example}.py"
    with tempfile.TemporaryDirectory(prefix="hickorywind-demo-") as folder:
        cluster = Cluster.from_script(script, Path(folder), arguments.hosts_per_zone)
        return _run(cluster, arguments.check, stopping)


def _run(cluster: Cluster, check: bool, stopping: threading.Event) -> int:
    status = 0
    try:
        cluster.start()
        wait_until_served(cluster)
        print(ready_line(cluster), flush=True)
        if check:
            print("\n".join(run_golden_session(cluster)), flush=True)
        else:
            stopping.wait()
    except (ClusterError, psycopg.Error) as error:
        print(f"demo failed: {error}", file=sys.stderr)
        status = 1
    try:
        cluster.stop()
    except ClusterError as error:
        print(f"did not stop cleanly: {error}", file=sys.stderr)
        status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
