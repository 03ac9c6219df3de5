"""Test case with an entry and fake pools in one event loop."""

from __future__ import annotations

import asyncio
import random
import unittest

import msgspec
import psycopg

from hickorywind.configuration.model import (
    Account,
    Configuration,
    Instance,
    Limits,
    RankPolicy,
    ReadKind,
    Service,
    Zone,
)
from hickorywind.configuration.sections import digest_sections, split_sections
from hickorywind.entry.role import EntryComponents
from hickorywind.ids import (
    Address,
    AvailabilityZone,
    BackendId,
    HostId,
    Incarnation,
    Rank,
    Region,
    Revision,
    ServiceName,
    Term,
)
from hickorywind.membership.directory import Directory
from hickorywind.observability.metrics import Metrics
from hickorywind.protocol.records import (
    ConfigHeadRecord,
    ConfigRecord,
    GroupRecord,
    MemberRecord,
    MemberState,
)
from hickorywind.util.clock import MonotonicClock
from tests.entry.fakepool import FakePool
from tests.ports import wait_until_free

SERVICE = ServiceName("signoffs")
ZONES = ("adum", "suame", "tema")
REGIONS = {"adum": "ashanti", "suame": "ashanti", "tema": "accra"}
PRIMARY = BackendId("signoffs-adum")
REPLICA = BackendId("signoffs-suame")
FAR_REPLICA = BackendId("signoffs-tema")


def make_configuration(limits: Limits | None = None, timeout_ms: int = 3_000) -> Configuration:
    instances = tuple(
        Instance(BackendId(f"{SERVICE}-{zone}"), AvailabilityZone(zone), "127.0.0.1:1", 3, 20)
        for zone in ZONES
    )
    ranks = tuple(RankPolicy(rank, 20, timeout_ms=timeout_ms) for rank in Rank)
    kinds = (ReadKind("crew_board", 500, 5_000),)
    service = Service(SERVICE, instances, ranks, kinds)
    zones = tuple(Zone(AvailabilityZone(zone), Region(REGIONS[zone])) for zone in ZONES)
    return Configuration("test", zones, (service,), limits or Limits(link_bytes_per_second=10**9))


def make_directory(
    configuration: Configuration, pools: dict[str, Address], primary: BackendId = PRIMARY
) -> Directory:
    directory = Directory()
    put_in_force(directory, configuration, Revision(1))
    directory.merge([GroupRecord(SERVICE, Term(1), primary)])
    directory.merge(make_member(zone, address) for zone, address in pools.items())
    return directory


def put_in_force(directory: Directory, configuration: Configuration, revision: Revision) -> None:
    sections = split_sections(configuration)
    held = [record for record in directory.table.records() if isinstance(record, ConfigRecord)]
    texts = {record.section: "" for record in held} | sections
    records = [ConfigRecord(name, revision, text) for name, text in texts.items()]
    directory.merge([*records, ConfigHeadRecord(revision, digest_sections(sections))])


def make_member(
    zone: str,
    address: Address | None,
    incarnation: int = 1,
    state: MemberState = MemberState.ALIVE,
) -> MemberRecord:
    return MemberRecord(
        HostId(f"host-{zone}"),
        AvailabilityZone(zone),
        Incarnation(incarnation),
        state,
        Address("127.0.0.1", 1),
        address,
    )


class EntryTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case with one entry in zone adum and a fake pool in each zone."""

    timeout_ms = 3_000
    limits: Limits | None = None
    users: dict[str, str] | None = None
    accounts: tuple[Account, ...] = ()
    metrics: Metrics | None = None

    async def asyncSetUp(self) -> None:
        self.pools = {zone: FakePool(incarnation=10 + i) for i, zone in enumerate(ZONES)}
        configuration = make_configuration(self.limits, self.timeout_ms)
        configuration = msgspec.structs.replace(configuration, accounts=self.accounts)
        addresses = {zone: pool.address for zone, pool in self.pools.items()}
        self.directory = make_directory(configuration, addresses)
        self.components, self.address = await self.start_entry(1)

    async def start_entry(self, seed: int) -> tuple[EntryComponents, Address]:
        components = EntryComponents(
            HostId(f"entry-{seed}"),
            AvailabilityZone("adum"),
            self.directory,
            MonotonicClock(),
            random.Random(seed),
            None,
            self.metrics,
            self.users,
        )
        components.apply_configuration()
        address = await components.server.start(Address("127.0.0.1", 0))
        self.addAsyncCleanup(self._stop, components)
        return components, address

    async def _stop(self, components: EntryComponents) -> None:
        await components.server.close()
        await components.links.close()

    async def asyncTearDown(self) -> None:
        for pool in self.pools.values():
            await pool.close()

    @property
    def primary_pool(self) -> FakePool:
        return self.pools["adum"]

    @property
    def replica_pool(self) -> FakePool:
        return self.pools["suame"]

    async def connect(
        self,
        address: Address | None = None,
        autocommit: bool = True,
        user: str = "crew",
        password: str | None = None,
        **options: str,
    ) -> psycopg.AsyncConnection:
        address = address or self.address
        settings = " ".join(f"-c hickorywind.{name}={value}" for name, value in options.items())
        connection = await psycopg.AsyncConnection.connect(
            host=address.host,
            port=address.port,
            user=user,
            password=password,
            dbname=SERVICE,
            options=settings,
            autocommit=autocommit,
            sslmode="disable",
        )
        self.addAsyncCleanup(connection.close)
        return connection

    async def fetch_value(self, connection: psycopg.AsyncConnection, text: str, params=None) -> str:
        cursor = await connection.execute(text, params)
        return (await cursor.fetchone())[0]

    async def restart_pool(self, zone: str, incarnation: int) -> None:
        """Stop a pool and start another one with a new incarnation at the same address."""
        old = self.pools[zone]
        await old.close()
        await wait_until_free(old.address)
        self.pools[zone] = FakePool(old.address, incarnation)

    async def wait_for(self, condition, timeout_seconds: float = 5.0) -> None:
        async with asyncio.timeout(timeout_seconds):
            while not condition():
                await asyncio.sleep(0.01)
