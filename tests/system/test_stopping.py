import asyncio
import itertools
import time
from datetime import timedelta

from hickorywind.ids import Role
from hickorywind_bench.appendworkload import AppendWorkload, run_append_workload
from hickorywind_bench.callers import connect_caller
from hickorywind_bench.checker import check_history
from tests.system.controllers import read_directory, wait_for_directory
from tests.system.site import SharedSiteTest

SEED = 20261205
LEAVING_LIMIT = timedelta(seconds=3)
EXIT_LIMIT_SECONDS = 15.0
READY_LIMIT = timedelta(seconds=15)
LONG_LAG_MS = 60_000
# Enough keys to keep lists short; long lists exceed the link budget of the zone in the other
# region (result code 2009).
KEY_COUNT = 40
# Fewer than the 7 open transactions that a home of the example allows (result code 2004).
SESSION_COUNT = 6
SHUTTING_DOWN = "5002"


class LoadedSiteTest(SharedSiteTest):
    """Test case that runs the append workload during an action and checks its history."""

    # Appended elements contain the seed; it differs by test because the tests share one table.
    seeds = itertools.count(SEED)

    def workload(self, duration, may_end):
        return AppendWorkload(
            service=self.service.name,
            entries=self.cluster.entries,
            session_count=SESSION_COUNT,
            key_count=KEY_COUNT,
            duration=duration,
            seed=next(self.seeds),
            timeout_ms=5_000,
            may_end=may_end,
        )

    async def run_load_during(self, action, until):
        """Run the append workload until after an action ends and check its history."""
        action_done = asyncio.Event()
        running = asyncio.create_task(run_append_workload(self.workload(until, action_done.is_set)))
        await asyncio.sleep(1)
        await action()
        self.assertFalse(running.done(), "the load ended before the action")
        action_done.set()
        record = await running
        violations = check_history(record.history)
        self.assertEqual([str(violation) for violation in violations[:5]], [])
        self.assertGreater(len(record.answered_at), 50, record.refusals)
        return record

    def assert_only_sessions_closed(self, record):
        """Check that requests failed only because sessions were closed between transactions."""
        self.assertEqual(set(record.refusals) - {SHUTTING_DOWN}, set(), record.refusals)


class LeavingTest(LoadedSiteTest):
    """Leaving backend servers, and a pool that is resumed after another became the home."""

    async def command(self, backend, statement):
        instance = next(item for item in self.service.instances if item.backend == backend)
        async with await connect_caller(instance.endpoint, self.service.name) as connection:
            await connection.execute(statement)

    async def finds_marker(self, entry, marker):
        """Return whether a read in a new session, of any staleness, finds a marker row."""
        async with await connect_caller(entry, self.service.name) as connection:
            cursor = await connection.execute(f"SELECT name FROM markers WHERE name = '{marker}'")
            return await cursor.fetchone() is not None

    async def test_leaving_replica_gets_no_reads_after_three_seconds(self):
        primary = (await self.primary()).backend
        instance = next(
            item
            for item in self.service.instances
            if item.backend != primary and self.has_reading_host(item)
        )
        entry = self.host_of(instance).entry
        async with await connect_caller(self.cluster.entries[0], self.service.name) as writer:
            await writer.execute("CREATE TABLE IF NOT EXISTS markers (name TEXT)")
            await asyncio.sleep(0.5)
            # Only this replica lacks the marker, which shows whether a read ran at it.
            await self.command(instance.backend, f"SELECT standin_set_lag({LONG_LAG_MS}, 0)")
            await writer.execute("INSERT INTO markers (name) VALUES ('leaving')")
        await asyncio.sleep(0.5)
        self.assertFalse(await self.finds_marker(entry, "leaving"))
        await self.command(instance.backend, "SELECT standin_set_leaving(true)")
        leaving_since = time.monotonic()
        last_read_at_replica = leaving_since
        while time.monotonic() - leaving_since < LEAVING_LIMIT.total_seconds() + 2:
            begin = time.monotonic()
            if not await self.finds_marker(entry, "leaving"):
                last_read_at_replica = begin
            await asyncio.sleep(0.02)
        print(f"last read at a leaving replica after {last_read_at_replica - leaving_since:.2f} s")
        self.assertLess(last_read_at_replica - leaving_since, LEAVING_LIMIT.total_seconds())
        await self.command(instance.backend, "SELECT standin_set_leaving(false)")
        async with asyncio.timeout(10):
            while await self.finds_marker(entry, "leaving"):
                await asyncio.sleep(0.1)
        await self.command(instance.backend, "SELECT standin_set_lag(0, 0)")

    def host_of(self, instance):
        return next(
            host
            for host in self.cluster.hosts
            if host.availability_zone == instance.availability_zone
        )

    def has_reading_host(self, instance):
        return any(
            host.availability_zone == instance.availability_zone for host in self.cluster.hosts
        )

    async def test_leaving_primary_is_replaced_within_three_seconds(self):
        before = await self.primary()
        durations = []

        async def leave():
            await self.command(before.backend, "SELECT standin_set_leaving(true)")
            leaving_since = time.monotonic()
            async with asyncio.timeout(LEAVING_LIMIT.total_seconds()):
                while (await self.primary()).backend == before.backend:
                    await asyncio.sleep(0.02)
            durations.append(time.monotonic() - leaving_since)
            await asyncio.sleep(1)
            await self.command(before.backend, "SELECT standin_set_leaving(false)")

        record = await self.run_load_during(leave, timedelta(seconds=7))
        answer_times = sorted(record.answered_at)
        longest = max(
            later - earlier for earlier, later in zip(answer_times, answer_times[1:], strict=False)
        )
        print(
            f"leaving primary replaced after {durations[0]:.2f} s, longest time without an"
            f" acknowledged write {longest.total_seconds():.2f} s, refusals {record.refusals}"
        )
        self.assertLess(durations[0], LEAVING_LIMIT.total_seconds())
        self.assert_only_sessions_closed(record)
        self.assertGreater((await self.primary()).term, before.term)

    async def test_frozen_home_and_its_successor_keep_histories_consistent(self):
        primary = (await self.primary()).backend
        controller = self.cluster.hosts[0].controller
        home = (await read_directory(controller)).home_of(primary)
        process = self.cluster.process(f"pool/{home.host}")
        answered = []

        def has_moved(directory):
            now = directory.home_of(primary)
            return now is not None and now.host != home.host

        async def freeze():
            process.freeze()
            try:
                await wait_for_directory(controller, has_moved, timedelta(seconds=8))
                await asyncio.sleep(2)
            finally:
                process.thaw()
            answered.append(time.monotonic())
            await asyncio.sleep(3)

        record = await self.run_load_during(freeze, timedelta(seconds=14))
        before_thaw = timedelta(seconds=answered[0])
        moved = [at for at in record.answered_at if before_thaw - at < timedelta(seconds=2)]
        self.assertGreater(len(moved), 20, "the new home served no writes")
        print(f"frozen home: {len(record.answered_at)} writes, refusals {record.refusals}")


class RestartTest(LoadedSiteTest):
    """Rolling restart of all processes."""

    hosts_per_zone = 2

    async def restart(self, host, roles):
        """Stop processes with SIGTERM, start them again and wait until they are announced."""
        processes = [self.cluster.process(f"{role.value}/{host.host}") for role in roles]
        for process in processes:
            process.terminate()
        stop_began = time.monotonic()
        for process in processes:
            code = await asyncio.to_thread(process.wait, EXIT_LIMIT_SECONDS)
            self.assertEqual(code, 0, f"{process.name}\n{process.log_tail()}")
        self.stop_times.append(time.monotonic() - stop_began)
        for process in processes:
            process.start()
        await self.wait_until_announced(host)

    async def wait_until_announced(self, host):
        def is_whole(directory):
            member = directory.member(host.host)
            return member is not None and member.pool is not None and member.entry is not None

        for other in self.cluster.hosts:
            await wait_for_directory(other.controller, is_whole, READY_LIMIT)

    async def test_rolling_restart_interrupts_no_request(self):
        self.stop_times = []

        async def restart_all():
            first, *others = self.cluster.hosts
            for role in Role:
                await self.restart(first, [role])
            for host in others:
                await self.restart(host, list(Role))

        record = await self.run_load_during(restart_all, timedelta(seconds=32))
        print(
            f"rolling restart of {len(self.cluster.hosts)} hosts: slowest stop"
            f" {max(self.stop_times):.2f} s, {len(record.answered_at)} writes acknowledged,"
            f" {len(record.history.reads)} reads answered, refusals {record.refusals}"
        )
        self.assert_only_sessions_closed(record)
