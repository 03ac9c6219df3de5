import asyncio
import re
import statistics
import time
from datetime import timedelta

import msgspec
import psycopg

from hickorywind.configuration.model import Account, Quota
from hickorywind.ids import Role
from hickorywind.protocol.channel import Link
from hickorywind.protocol.messages import RecordBatch, StatusRequest
from hickorywind.protocol.records import ConfigHeadRecord, ConfigRecord
from standins.store.control import set_faults
from standins.store.faults import Faults as StoreFaults
from standins.store.faults import LostAnswer
from tests.system.operators import Change, Operator, RevisionWatch
from tests.system.site import SharedSiteTest

QUIET_LIMIT = timedelta(seconds=10)
OUTAGE_LIMIT = timedelta(seconds=14)
SLOW_STORE = StoreFaults(delay_ms=300)
FROZEN_FOR = timedelta(seconds=2)
MEASURED_CHANGES = 5


class ConfigurationTest(SharedSiteTest):
    """Configuration changes during operator races, store outages and frozen processes."""

    def setUp(self):
        self.operator = Operator(self.cluster)
        self.watch = RevisionWatch(self.cluster)

    async def asyncSetUp(self):
        await set_faults(self.cluster.store_address, StoreFaults())

    async def asyncTearDown(self):
        for process in self.cluster.processes.values():
            process.thaw()
        await set_faults(self.cluster.store_address, StoreFaults())
        self.assert_never_reverted()

    def assert_never_reverted(self):
        """Check that no daemon put an older revision in force after a newer one."""
        for host in self.cluster.hosts:
            for role in Role:
                revisions = self.watch.revisions(host, role)
                self.assertEqual(revisions, sorted(revisions), f"{role.value}/{host.host}")

    async def assert_in_force(self, revision, change, limit):
        """Check that a change is in force at every daemon within a limit; return the time taken."""
        took = await self.watch.wait_everywhere(revision, limit)
        self.assertEqual(await self.watch.find_entries_without(change), [])
        return took

    def controller(self, host):
        return self.cluster.process(f"controller/{host.host}")

    async def test_of_racing_operators_one_wins_and_the_other_learns_of_the_change(self):
        for attempt in range(2):
            changes = [Change(f"race-{attempt}-{name}", name) for name in ("ama", "kofi")]
            reviewed, _ = await self.operator.read_accepted_change()
            # The delay makes both operators read the reviewed revision before either writes.
            await set_faults(self.cluster.store_address, SLOW_STORE)
            results = await asyncio.gather(
                *(self.operator.apply(change, reviewed) for change in changes)
            )
            await set_faults(self.cluster.store_address, StoreFaults())
            errors = [item.error for item in results]
            self.assertEqual(sorted(item.exit_code for item in results), [0, 1], errors)
            winner = 0 if results[0].exit_code == 0 else 1
            won, lost = changes[winner], changes[1 - winner]
            loser_error = results[1 - winner].error
            self.assertIn(f"by {won.author} (add {won.name})", loser_error)
            self.assertIn(f"revision {results[winner].revision} is current", loser_error)
            await self.assert_in_force(results[winner].revision, won, QUIET_LIMIT)
            missing = await self.watch.find_entries_without(lost)
            self.assertEqual(len(missing), len(self.cluster.hosts))

    async def test_lost_answer_of_the_swap_is_resolved(self):
        for lost in LostAnswer:
            change = Change(f"lost-{lost.value}")
            before, _ = await self.operator.read_accepted_change()
            faults = StoreFaults(lose_answers=1, lost_answer=lost)
            await set_faults(self.cluster.store_address, faults)
            result = await self.operator.apply(change)
            self.assertEqual(result.exit_code, 0, result.error)
            self.assertGreater(result.revision, before)
            _, envelope = await self.operator.read_accepted_change()
            self.assertEqual(envelope.note, f"add {change.name}")
            await self.assert_in_force(result.revision, change, QUIET_LIMIT)
            store = ("--store", str(self.cluster.store_address))
            history = await self.operator.run("config", "history", *store)
            self.assertEqual(history.text.count(f"  add {change.name}  "), 1, history.text)

    async def test_store_outage_just_after_acceptance(self):
        change = Change("outage-at-once")
        begin = time.monotonic()
        revision = await self.operator.write_to_store(change)
        await set_faults(self.cluster.store_address, StoreFaults(outage=True))
        await self.assert_in_force(revision, change, OUTAGE_LIMIT)
        print(f"in force everywhere, store out at once: {time.monotonic() - begin:.2f} s")

    async def test_controllers_started_in_an_outage_learn_from_the_only_one_that_has_the_revision(
        self,
    ):
        informed_host, *others = self.cluster.hosts
        for host in others:
            self.controller(host).kill()
        change = Change("known-to-one")
        revision = await self.operator.write_to_store(change)
        async with asyncio.timeout(QUIET_LIMIT.total_seconds()):
            while revision not in self.watch.revisions(informed_host, Role.CONTROLLER):
                await asyncio.sleep(0.02)
        await set_faults(self.cluster.store_address, StoreFaults(outage=True))
        begin = time.monotonic()
        for host in others:
            self.controller(host).start()
        await self.assert_in_force(revision, change, OUTAGE_LIMIT)
        print(f"in force everywhere from one controller: {time.monotonic() - begin:.2f} s")

    async def test_host_restarted_in_an_outage_learns_the_newest_revision_from_peers(self):
        host = self.cluster.hosts[-1]
        for number in range(2):
            change = Change(f"restart-{number}")
            result = await self.operator.apply(change)
        await self.watch.wait_everywhere(result.revision, QUIET_LIMIT)
        await set_faults(self.cluster.store_address, StoreFaults(outage=True))
        before = {role: self.watch.log_size(host, role) for role in Role}
        processes = [self.cluster.process(f"{role.value}/{host.host}") for role in Role]
        for process in processes:
            process.kill()
        for process in processes:
            process.start()
        async with asyncio.timeout(OUTAGE_LIMIT.total_seconds()):
            while not all(self.watch.revisions(host, role, before[role]) for role in Role):
                await asyncio.sleep(0.02)
        for role in Role:
            after = self.watch.revisions(host, role, before[role])
            self.assertEqual(after, [result.revision], role)
        self.assertEqual(await self.watch.find_entries_without(change), [])

    async def test_controller_frozen_across_changes_reverts_nothing(self):
        host = self.cluster.hosts[0]
        self.controller(host).freeze()
        for number in range(2):
            change = Change(f"frozen-{number}")
            result = await self.operator.apply(change)
            self.assertEqual(result.exit_code, 0, result.error)
        others = [other for other in self.cluster.hosts if other is not host]
        async with asyncio.timeout(OUTAGE_LIMIT.total_seconds()):
            for other in others:
                while result.revision not in self.watch.revisions(other, Role.ENTRY):
                    await asyncio.sleep(0.02)
        await asyncio.sleep(FROZEN_FOR.total_seconds())
        self.controller(host).thaw()
        await self.assert_in_force(result.revision, change, OUTAGE_LIMIT)
        for _ in range(20):
            await asyncio.sleep(0.1)
            self.assertEqual(await self.watch.find_entries_without(change), [])

    async def test_accounts_are_in_force_at_every_entry_until_they_are_removed(self):
        change = Change("accounts")
        revision, envelope = await self.operator.read_accepted_change()
        for accounts in ((Account("workshop", ("bench",), quota=Quota(0.01, 6)),), ()):
            document = msgspec.structs.replace(envelope.document, accounts=accounts)
            result = await self.operator.apply_document(change, document, revision)
            self.assertEqual(result.exit_code, 0, result.error)
            revision = result.revision
            await self.watch.wait_everywhere(revision, QUIET_LIMIT)
            controller = str(self.cluster.hosts[0].controller)
            status = await self.operator.run("status", "--controller", controller)
            shown = re.search(r"(?m)^workshop +standard +0.01 +6 +1$", status.text)
            self.assertEqual(bool(shown), bool(accounts), status.text)
            for host in self.cluster.hosts:
                numbers = [await self.run_reads(host, "bench", 3) for _ in range(2)]
                strangers = await self.run_reads(host, "stranger", 1)
                if accounts:
                    # Each of the three entries admits a burst of two operations.
                    self.assertEqual(
                        (numbers, strangers), ([(2, "2010"), (0, "2010")], (0, "1009"))
                    )
                else:
                    self.assertEqual((numbers, strangers), ([(3, ""), (3, "")], (1, "")))

    async def run_reads(self, host, user, count):
        """Return how many of some reads a user's new session ran, and the number of the refusal."""
        done = 0
        target = f"host={host.entry.host} port={host.entry.port} dbname={self.service.name}"
        target += f" user={user} sslmode=disable"
        try:
            async with await psycopg.AsyncConnection.connect(target, autocommit=True) as connection:
                for _ in range(count):
                    await connection.execute("SELECT 1")
                    done += 1
        except psycopg.Error as error:
            return done, re.search(r"\[(\d+)\]", str(error))[1]
        return done, ""

    async def test_late_messages_with_older_records_revert_nothing(self):
        older_records = await self.read_configuration_records()
        change = Change("after-late")
        revision = await self.operator.write_to_store(change)
        await self.assert_in_force(revision, change, QUIET_LIMIT)
        for host in self.cluster.hosts:
            await self.send(host, RecordBatch(older_records))
        for _ in range(10):
            await asyncio.sleep(0.1)
            self.assertEqual(await self.watch.find_entries_without(change), [])
        self.assertNotIn(older_records[0], await self.read_configuration_records())

    async def read_configuration_records(self):
        """Return a controller's configuration records, the head record first."""
        host = self.cluster.hosts[0]
        link = Link(host.controller)
        async with asyncio.timeout(5):
            await self.send_by(link, StatusRequest())
            reply = await link.receive()
        link.close()
        kinds = (ConfigHeadRecord, ConfigRecord)
        records = [record for record in reply.records if isinstance(record, kinds)]
        return tuple(sorted(records, key=lambda record: not isinstance(record, ConfigHeadRecord)))

    async def send(self, host, message):
        link = Link(host.controller)
        await self.send_by(link, message)
        await asyncio.sleep(0.1)
        link.close()

    async def send_by(self, link, message):
        while not await link.send(message):
            await asyncio.sleep(0.02)

    async def test_changes_are_in_force_everywhere_within_seconds(self):
        taken = []
        for number in range(MEASURED_CHANGES):
            change = Change(f"measured-{number}")
            revision = await self.operator.write_to_store(change)
            taken.append(await self.assert_in_force(revision, change, QUIET_LIMIT))
        seconds = [took.total_seconds() for took in taken]
        print(
            f"in force everywhere, {len(seconds)} changes: median"
            f" {statistics.median(seconds):.2f} s, longest {max(seconds):.2f} s"
        )
        self.assertLess(max(seconds), 5)
