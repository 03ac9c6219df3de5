import json
import unittest
from datetime import timedelta

from hickorywind.ids import InstanceRole
from hickorywind.platform.documents import decode_backend, decode_configuration
from hickorywind.ports.catalog import (
    AccountQuota,
    BackendState,
    BoundedStalenessReads,
    PrimaryReads,
    ReadYourWrites,
)
from hickorywind.store.interface import StoredValue

ROUTE = {
    "name": "r1",
    "database": "db1",
    "prefix": "/",
    "route_type": "read_your_writes",
    "timeout_ms": 1000,
    "target_latency_ms": 4000,
    "priority": 2,
    "backend": "ledger",
    "attempts": 2,
    "max_staleness_ms": 2500,
}
SERVER = {
    "backend": "ledger",
    "address": "10.128.0.9:8080",
    "zone": "adum",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 0,
    "db_role": "replica",
    "seq": 4,
    "born": 1700000000000,
}


def stored_value(value, key="op/config"):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoredValue(key, data, 7)


def configuration(**route):
    return {
        "version": 7,
        "routes": [{**ROUTE, **route}],
        "backends": [{"name": "ledger", "max_conns": 21, "sync_replicas": 0}],
        "limits": {"tx_idle_ms": 3000},
    }


class AccountsTest(unittest.TestCase):
    def decode(self, *accounts):
        return decode_configuration(stored_value(configuration() | {"tenants": list(accounts)}))

    def test_deployment_without_accounts_has_none(self):
        self.assertIsNone(decode_configuration(stored_value(configuration())).accounts)

    def test_keys_and_quotas_are_decoded(self):
        first = {"name": "a1", "api_keys": ["k1", "k2"], "rate_per_s": 9, "burst": 4}
        second = {"name": "a2", "api_keys": [], "priority": 1}
        accounts = self.decode(first, second).accounts
        self.assertEqual(accounts.account_by_key, {"k1": "a1", "k2": "a1"})
        self.assertEqual(accounts.quotas, {"a1": AccountQuota(9.0, 4.0)})

    def test_key_of_two_accounts_identifies_none(self):
        first = {"name": "a1", "api_keys": ["k1", "k2"], "rate_per_s": 9, "burst": 9}
        second = {"name": "a2", "api_keys": ["k2"], "rate_per_s": 9, "burst": 9}
        with self.assertLogs("hickorywind.platform.documents", "ERROR") as logs:
            accounts = self.decode(first, second).accounts
        self.assertEqual(accounts.account_by_key, {"k1": "a1"})
        self.assertNotIn("k2", str(logs.records[0].__dict__))

    def test_burst_allows_one_operation_at_least(self):
        account = {"name": "a1", "api_keys": ["k1"], "rate_per_s": 0.2, "burst": 0.2}
        self.assertEqual(self.decode(account).accounts.quotas["a1"].burst, 1.0)

    def test_public_route(self):
        decoded = decode_configuration(stored_value(configuration(public=True)))
        self.assertTrue(decoded.routes["db1"].is_public)


class ConfigurationTest(unittest.TestCase):
    def test_fields_are_decoded_with_their_units(self):
        decoded = decode_configuration(stored_value(configuration()))
        route = decoded.routes["db1"]
        self.assertEqual(route.service, "ledger")
        self.assertEqual(route.read_policy, ReadYourWrites(timedelta(milliseconds=2500)))
        self.assertEqual(route.statement_timeout, timedelta(seconds=1))
        self.assertEqual(route.latency_objective, timedelta(seconds=4))
        self.assertEqual(decoded.connection_limits["ledger"], 21)
        self.assertEqual(decoded.transaction_idle_timeout, timedelta(seconds=3))

    def test_route_types_set_the_read_policy(self):
        bounded = decode_configuration(stored_value(configuration(route_type="bounded_staleness")))
        self.assertIsInstance(bounded.routes["db1"].read_policy, BoundedStalenessReads)
        primary = decode_configuration(stored_value(configuration(route_type="primary")))
        self.assertIsInstance(primary.routes["db1"].read_policy, PrimaryReads)

    def test_invalid_configuration_is_logged_and_yields_none(self):
        for value in (b"\xff", b"[]", configuration(route_type="odd"), {"version": "x"}):
            with self.assertLogs("hickorywind.platform.documents", "ERROR"):
                self.assertIsNone(decode_configuration(stored_value(value)))


class RegistrationTest(unittest.TestCase):
    def test_registration(self):
        server = decode_backend(stored_value(SERVER, "servers/i-1"))
        self.assertEqual(server.backend, "i-1")
        self.assertEqual(server.role, InstanceRole.REPLICA)
        self.assertEqual(server.state, BackendState.READY)
        draining = decode_backend(stored_value({**SERVER, "state": "draining"}, "servers/i-1"))
        self.assertEqual(draining.state, BackendState.LEAVING)

    def test_invalid_registration_is_logged_and_yields_none(self):
        invalid = [b"\xff\xfe", b"{}", {**SERVER, "state": "odd"}, {**SERVER, "slots": "3"}]
        invalid += [{**SERVER, "address": "nowhere"}, {**SERVER, "born": 1.5}]
        invalid += [{key: value for key, value in SERVER.items() if key != "zone"}]
        for value in invalid:
            with self.assertLogs("hickorywind.platform.documents", "WARNING"):
                self.assertIsNone(decode_backend(stored_value(value, "servers/i-1")), value)
