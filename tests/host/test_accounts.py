import asyncio
import json

from hickorywind.admission.quotas import QUOTA_SETTLING_TIME
from hickorywind.platform.documents import CONFIGURATION_KEY
from tests.host.harness import Caller, HostTestCase, configuration


def with_accounts(version, accounts, public=(), rate_per_s=100):
    document = json.loads(configuration(version))
    for route in document["routes"]:
        route["public"] = route["database"] in public
    document["tenants"] = [
        {"name": name, "api_keys": keys, "rate_per_s": rate_per_s, "burst": rate_per_s}
        for name, keys in accounts.items()
    ]
    return json.dumps(document).encode()


class AccountsTest(HostTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.configure(2, {"acme": ["k1", "k2"], "globex": ["k3"]}, public=("views",))

    async def configure(self, version, accounts, public=(), rate_per_s=100):
        document = with_accounts(version, accounts, public, rate_per_s)
        await self.store.put(CONFIGURATION_KEY, document)
        await self.wait_until(
            lambda: all(
                host.role._fleet.configuration.version == version for host in self.hosts.values()
            )
        )
        # The quota of an account that is new to its home begins without tokens.
        await asyncio.sleep(QUOTA_SETTLING_TIME.total_seconds())

    async def connect(self, database, key):
        caller = await Caller.connect(self.hosts["h0"].settings.callers_listen, database, key)
        self.addCleanup(caller.close)
        return caller

    def clients(self):
        """Return the client of the connection on which each caller's request ran."""
        found = {}
        for server in self.group.servers.values():
            found |= server.clients
        found.pop("-", None)
        return found

    async def test_unknown_key_is_refused_at_once_and_not_logged(self):
        with self.assertLogs("hickorywind.host", "INFO") as logs:
            caller = await self.connect("bookings", "stolen")
        self.assertTrue(caller.greeting.startswith("ERROR AUTHFAIL [1009]"), caller.greeting)
        self.assertNotIn("stolen", "".join(str(record.__dict__) for record in logs.records))

    async def test_statements_run_on_connections_of_the_callers_account(self):
        for key in ("k1", "k3", "k2", "k1"):
            caller = await self.connect("bookings", key)
            caller.number = len(self.clients())
            self.assertTrue((await caller.ask("WRITE kiln 1"))[0].startswith("COMPLETE"))
        self.assertEqual(self.clients(), {"q1": "acme", "q2": "globex", "q3": "acme", "q4": "acme"})

    async def test_public_route_needs_no_key(self):
        caller = await self.connect("views", "anyone")
        self.assertEqual(caller.greeting, "READY I -")
        await caller.ask("READ kiln")
        self.assertEqual(self.clients(), {"q1": "hickorywind"})

    async def test_keys_are_never_sent_to_servers(self):
        caller = await self.connect("bookings", "k1")
        await caller.ask("READ kiln")
        sent = [(server.statements, server.clients) for server in self.group.servers.values()]
        self.assertNotIn("k1", str(sent))

    async def test_withdrawn_key_ends_a_connected_session_and_its_transaction(self):
        idle, writer = await self.connect("bookings", "k2"), await self.connect("bookings", "k2")
        await idle.ask("READ kiln")
        await writer.ask("BEGIN")
        await writer.ask("WRITE kiln 7")
        await self.configure(3, {"acme": ["k1"], "globex": ["k3"]})
        for caller, text in ((idle, "READ kiln"), (writer, "COMMIT")):
            lines = await caller.ask(text)
            self.assertTrue(lines[0].startswith("ERROR AUTHFAIL"), lines)
            self.assertTrue(lines[1].startswith("READY I"))
        self.assertEqual(self.group.commits, [])
        kept = await self.connect("bookings", "k1")
        self.assertTrue((await kept.ask("WRITE kiln 8"))[0].startswith("COMPLETE"))

    async def test_transaction_outlives_the_removal_of_its_route(self):
        writer = await self.connect("bookings", "k1")
        await writer.ask("BEGIN")
        await writer.ask("WRITE kiln 7")
        document = json.loads(with_accounts(3, {"acme": ["k1"]}))
        document["routes"] = [r for r in document["routes"] if r["database"] != "bookings"]
        await self.store.put(CONFIGURATION_KEY, json.dumps(document).encode())
        await self.wait_until(lambda: self.hosts["h0"].role._fleet.configuration.version == 3)
        self.assertTrue((await writer.ask("COMMIT"))[0].startswith("COMPLETE"))

    async def test_operations_beyond_the_quota_are_refused_before_they_run(self):
        await self.configure(3, {"acme": ["k1"], "globex": ["k3"]}, rate_per_s=5)
        caller, other = await self.connect("bookings", "k1"), await self.connect("bookings", "k3")
        replies = [(await caller.ask(f"WRITE kiln {value}"))[0] for value in range(30)]
        refused = [reply for reply in replies if not reply.startswith("COMPLETE")]
        self.assertEqual(len(self.group.commits), 30 - len(refused))
        self.assertGreaterEqual(len(self.group.commits), 5)
        self.assertGreaterEqual(len(refused), 15)
        for reply in refused:
            self.assertRegex(reply, r"ERROR BUSY \[2010\] .*retry_after_ms=\d+")
        self.assertTrue((await other.ask("WRITE kiln 99"))[0].startswith("COMPLETE"))

    async def test_transaction_counts_as_one_operation(self):
        await self.configure(3, {"acme": ["k1"]}, rate_per_s=5)
        caller = await self.connect("bookings", "k1")
        await caller.ask("BEGIN")
        for value in range(12):
            self.assertTrue((await caller.ask(f"WRITE kiln {value}"))[0].startswith("COMPLETE"))
        self.assertTrue((await caller.ask("COMMIT"))[0].startswith("COMPLETE"))

    async def test_many_accounts_share_a_server_with_few_connections(self):
        """24 accounts call through one host in turn at servers of 3 connections each."""
        for server in self.group.servers.values():
            server.connection_limit = 3
        names = [f"a{number}" for number in range(24)]
        await self.configure(4, {name: [f"k-{name}"] for name in names})
        for _ in range(2):
            for name in names:
                caller = await self.connect("bookings", f"k-{name}")
                lines = await caller.ask("WRITE kiln 1")
                self.assertTrue(lines[0].startswith("COMPLETE"), lines)
                caller.close()
        self.assertEqual(len(self.group.commits), 48)
