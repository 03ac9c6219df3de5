import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "hickorywind"
DECISION_PACKAGES = ("routing", "admission", "placement", "failover", "configuration")
DECISION_MODULES = (
    "protocol/messages.py",
    "protocol/records.py",
    "protocol/codec.py",
    "membership/table.py",
    "membership/directory.py",
    "membership/gossip.py",
    "membership/neighbours.py",
    "membership/peertable.py",
)
FORBIDDEN = {"asyncio", "socket", "zmq", "grpc", "aetcd", "selectors", "threading"}
FORBIDDEN_MODULES = {"hickorywind.protocol.channel", "hickorywind.membership.subscriber"}


def imported_names(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


class LayeringTest(unittest.TestCase):
    def decision_files(self):
        for package in DECISION_PACKAGES:
            yield from sorted((PACKAGE / package).glob("*.py"))
        yield from (PACKAGE / module for module in DECISION_MODULES)

    def test_decisions_do_no_io(self):
        for path in self.decision_files():
            with self.subTest(path=path.name):
                for name in imported_names(path):
                    self.assertNotIn(name.split(".")[0], FORBIDDEN)
                    self.assertNotIn(name, FORBIDDEN_MODULES)

    def test_decisions_read_no_clock_and_no_global_randomness(self):
        for path in self.decision_files():
            text = path.read_text()
            with self.subTest(path=path.name):
                for call in ("time.time(", "time.monotonic(", "datetime.now(", "random.random("):
                    self.assertNotIn(call, text)

    def test_package_starts_no_process(self):
        for path in sorted(PACKAGE.rglob("*.py")):
            with self.subTest(path=path.name):
                names = {name.split(".")[0] for name in imported_names(path)}
                self.assertFalse(names & {"subprocess", "multiprocessing", "uvloop"})


class HostPackageTest(unittest.TestCase):
    def test_modules_of_a_host_import_each_other_in_one_direction(self):
        imports = {
            f"hickorywind.host.{path.stem}": set(imported_names(path))
            for path in sorted((PACKAGE / "host").glob("*.py"))
        }
        pending = {name: names & imports.keys() for name, names in imports.items()}
        while leaves := [name for name, names in pending.items() if not names & pending.keys()]:
            for name in leaves:
                del pending[name]
        self.assertEqual(sorted(pending), [], "modules in an import circle, or that use one")


class PlatformAdapterTest(unittest.TestCase):
    """Only the adapter uses the platform's wire names, and it makes no decisions itself."""

    WIRE_NAMES = (
        "kv-txn",
        "kv-watch",
        "kv-range",
        "kv-lease",
        "kv-keep",
        "Lease-Holder",
        "Fencing-Token",
        "NOSTMT",
        "MISROUTED",
        "LAGGING",
        "INDOUBT",
        "CONNLIMIT",
        "db_role",
        "op/config",
        "route_type",
    )
    DECISION_PREFIXES = (
        "hickorywind.admission",
        "hickorywind.routing",
        "hickorywind.failover",
        "hickorywind.placement",
        "hickorywind.membership",
    )

    def test_wire_names_appear_only_in_the_adapter(self):
        for path in sorted(PACKAGE.rglob("*.py")):
            if path.parent.name == "platform":
                continue
            text = path.read_text()
            with self.subTest(path=path.name):
                self.assertEqual([name for name in self.WIRE_NAMES if name in text], [])

    def test_only_the_program_module_imports_the_host(self):
        for path in sorted((PACKAGE / "platform").glob("*.py")):
            with self.subTest(path=path.name):
                for name in imported_names(path):
                    self.assertFalse(name.startswith(self.DECISION_PREFIXES), name)
                    if path.name != "program.py":
                        self.assertFalse(name.startswith("hickorywind.host"), name)

    def test_adapter_is_imported_only_within_its_own_package(self):
        for path in sorted(PACKAGE.rglob("*.py")):
            if path.parent.name != "platform":
                with self.subTest(path=path.name):
                    for name in imported_names(path):
                        self.assertFalse(name.startswith("hickorywind.platform"), name)
