import math
import unittest

import msgspec

from hickorywind.configuration.model import Configuration
from hickorywind.configuration.validate import find_problems, require_valid
from hickorywind.results import ResultCode, UserError
from tests.configuration.samples import make_account_configuration, make_configuration

SERVICE = "services[ledger]"


def problems_after(change, make=make_configuration):
    """Return the paths of the problems after ``change`` has modified a valid configuration."""
    value = msgspec.to_builtins(make())
    value = msgspec.json.decode(msgspec.json.encode(value))
    change(value, value["services"][0])
    return [problem.path for problem in find_problems(msgspec.convert(value, Configuration))]


class ValidateTest(unittest.TestCase):
    def test_good_configuration_has_no_problems(self):
        self.assertEqual(find_problems(make_configuration()), ())
        self.assertEqual(find_problems(make_account_configuration()), ())

    def test_each_rule(self):
        cases = {
            "name": lambda c, s: c.update(name=" "),
            "zones": lambda c, s: c["zones"].append(c["zones"][0]),
            "zones[A b].name": lambda c, s: c["zones"].append({"name": "A b", "region": "r"}),
            "services": lambda c, s: c.update(services=[]),
            "instances": lambda c, s: s["instances"][1].update(backend="ledger-a"),
            "instances.address": lambda c, s: s["instances"][1].update(address="127.0.0.1:2000"),
            f"{SERVICE}.instances": lambda c, s: s.update(instances=[]),
            f"{SERVICE}.instances[ledger-a].availability_zone": lambda c, s: s["instances"][
                0
            ].update(availability_zone="z"),
            f"{SERVICE}.instances[ledger-a].address": lambda c, s: s["instances"][0].update(
                address="host:1"
            ),
            f"{SERVICE}.instances[ledger-a].slots": lambda c, s: s["instances"][0].update(slots=0),
            f"{SERVICE}.instances[ledger-b].connections": lambda c, s: s["instances"][1].update(
                slots=10
            ),
            f"{SERVICE}.ranks": lambda c, s: s["ranks"].pop(),
            f"{SERVICE}.ranks[urgent].floor_percent": lambda c, s: s["ranks"][0].update(
                floor_percent=-1
            ),
            f"{SERVICE}.ranks[urgent].queue_limit": lambda c, s: s["ranks"][0].update(
                queue_limit=0
            ),
            f"{SERVICE}.read_kinds[views].max_staleness_ms": lambda c, s: s["read_kinds"][0].update(
                max_staleness_ms=-1
            ),
            f"{SERVICE}.read_kinds[views].fallback_staleness_ms": lambda c, s: s["read_kinds"][
                0
            ].update(fallback_staleness_ms=10),
            f"{SERVICE}.objectives[urgent].target_percent": lambda c, s: s["objectives"][0].update(
                target_percent=100
            ),
            f"{SERVICE}.objectives[urgent].latency_ms": lambda c, s: s["objectives"][0].update(
                latency_ms=201
            ),
            f"{SERVICE}.transactions.open_limit": lambda c, s: s["transactions"].update(
                open_limit=10
            ),
            f"{SERVICE}.transactions.idle_timeout_ms": lambda c, s: s["transactions"].update(
                idle_timeout_ms=0
            ),
            "limits.retry_budget_percent": lambda c, s: c["limits"].update(
                retry_budget_percent=101
            ),
            "limits.message_limit_bytes": lambda c, s: c["limits"].update(message_limit_bytes=0),
        }
        for path, change in cases.items():
            with self.subTest(path):
                self.assertEqual(problems_after(change), [path])

    def test_numbers_have_an_upper_limit(self):
        cases = {
            "ranks[urgent].timeout_ms": lambda s: s["ranks"][0].update(timeout_ms=10**20),
            "ranks[urgent].queue_limit": lambda s: s["ranks"][0].update(queue_limit=10**20),
            "transactions.idle_timeout_ms": lambda s: s["transactions"].update(
                idle_timeout_ms=10**20
            ),
            "read_kinds[views].max_staleness_ms": lambda s: s["read_kinds"][0].update(
                max_staleness_ms=10**20, fallback_staleness_ms=None
            ),
            "instances[ledger-b].connections": lambda s: s["instances"][1].update(
                connections=10**20
            ),
        }
        for path, change in cases.items():
            with self.subTest(path):
                paths = problems_after(lambda c, s, change=change: change(s))
                self.assertEqual(paths, [f"{SERVICE}.{path}"])

    def test_floors_add_up_to_at_most_100_percent(self):
        def raise_floor(percent):
            return lambda c, s: s["ranks"][0].update(floor_percent=percent)

        self.assertEqual(problems_after(raise_floor(60)), [])
        self.assertEqual(problems_after(raise_floor(61)), [f"{SERVICE}.ranks"])

    def test_objective_latency_is_at_most_the_timeout_of_its_rank(self):
        paths = problems_after(lambda c, s: s["ranks"][0].update(timeout_ms=150))
        self.assertEqual(paths, [f"{SERVICE}.objectives[urgent].latency_ms"])

    def test_each_rule_of_accounts(self):
        long_name = "é" * 32
        cases = {
            "accounts": lambda c, a, w: c["accounts"].append({**a, "users": ["x"]}),
            "accounts[archive].users": lambda c, a, w: a.update(users=[]),
            "accounts[workshop].users[reader]": lambda c, a, w: w["users"].append("reader"),
            "accounts[workshop].users[office]": lambda c, a, w: w["users"].append("office"),
            f"accounts[archive].users[{long_name}]": lambda c, a, w: a["users"].append(long_name),
            "accounts[archive].users[]": lambda c, a, w: a["users"].append(""),
            "accounts[archive].users[a\0]": lambda c, a, w: a["users"].append("a\0"),
            "accounts[other].name": lambda c, a, w: a.update(name="other"),
            "accounts[A b].name": lambda c, a, w: a.update(name="A b"),
            "accounts[workshop].quota.burst": lambda c, a, w: w["quota"].update(burst=0),
        }
        for path, change in cases.items():
            with self.subTest(path):
                paths = problems_after(
                    lambda c, s, change=change: change(c, *c["accounts"]),
                    make_account_configuration,
                )
                self.assertEqual(paths, [path])

    def test_rate_of_a_quota_is_finite_and_above_zero(self):
        configuration = make_account_configuration()
        archive, workshop = configuration.accounts
        for rate in (0, -1.0, 0.0009, 1e13, math.inf, math.nan):
            quota = msgspec.structs.replace(workshop.quota, rate_per_s=rate)
            wrong = msgspec.structs.replace(workshop, quota=quota)
            problems = find_problems(
                msgspec.structs.replace(configuration, accounts=(archive, wrong))
            )
            paths = [problem.path for problem in problems]
            self.assertEqual(paths, ["accounts[workshop].quota.rate_per_s"])

    def test_all_problems_are_reported_with_their_code(self):
        configuration = msgspec.structs.replace(make_configuration(), name="", zones=())
        problems = find_problems(configuration)
        self.assertEqual(len(problems), 4)
        self.assertTrue(all(str(problem).startswith("7001 ") for problem in problems))
        with self.assertRaises(UserError) as caught:
            require_valid(configuration)
        self.assertEqual(caught.exception.code, ResultCode.CONFIG_INVALID)
        for problem in problems:
            self.assertIn(problem.path, str(caught.exception))
