import unittest
from datetime import timedelta

from hickorywind.controller.platformlist import PlatformList
from hickorywind.controller.requests import OperatorRequests
from hickorywind.controller.subscribers import SUBSCRIBER_TIMEOUT, Subscribers
from hickorywind.ids import (
    Address,
    BackendId,
    HostId,
    Incarnation,
    Revision,
    Role,
    ServiceName,
    Term,
)
from hickorywind.membership.actions import ToAddress, ToPeer
from hickorywind.membership.directory import Directory
from hickorywind.protocol.messages import (
    BucketDigests,
    DrainReply,
    DrainRequest,
    RecordBatch,
    Subscribe,
)
from hickorywind.protocol.records import GroupRecord, LeavingRecord
from hickorywind.results import Result, ResultCode
from hickorywind.store.interface import StoredValue
from tests.controller.test_config import (
    ConfigRecordBuilder,
    configuration,
    merge_stored,
    stored,
)
from tests.placement.test_observers import member

NOW = timedelta(seconds=10)
RECORD = GroupRecord(ServiceName("s"), Term(1), BackendId("b1"))


def subscribe(host="h1", role="pool", digest=0, draining=False):
    return Subscribe(HostId(host), role, Incarnation(1), digest, draining)


class SubscribersTest(unittest.TestCase):
    def setUp(self):
        self.subscribers = Subscribers(HostId("h1"))
        self.table = Directory().table

    def handle(self, now, message, peer=b"1"):
        return self.subscribers.handle_subscribe(now, peer, message, self.table).message

    def test_each_subscribe_is_answered_and_comparison_waits_after_a_change(self):
        self.assertEqual(self.handle(NOW, subscribe()), RecordBatch(()))
        self.table.merge((RECORD,))
        (push,) = self.subscribers.send_changes(NOW, (RECORD,))
        self.assertEqual(push.message, RecordBatch((RECORD,)))
        soon, later = NOW + timedelta(seconds=0.5), NOW + timedelta(seconds=1.5)
        self.assertEqual(self.handle(soon, subscribe()), RecordBatch(()))
        self.assertIsInstance(self.handle(later, subscribe()), BucketDigests)

    def test_only_own_processes_that_accept_work_count_as_serving(self):
        self.assertFalse(self.subscribers.is_serving(Role.POOL))
        self.handle(NOW, subscribe(host="h2"), b"2")
        self.assertFalse(self.subscribers.is_serving(Role.POOL))
        self.handle(NOW, subscribe())
        self.assertTrue(self.subscribers.is_serving(Role.POOL))
        self.assertFalse(self.subscribers.is_serving(Role.ENTRY))
        self.handle(NOW, subscribe(draining=True))
        self.assertFalse(self.subscribers.is_serving(Role.POOL))

    def test_silent_process_is_removed_but_not_after_a_pause_of_the_controller(self):
        self.handle(NOW, subscribe())
        pause = SUBSCRIBER_TIMEOUT * 2
        self.subscribers.extend_deadlines(pause)
        self.subscribers.remove_silent(NOW + pause)
        self.assertTrue(self.subscribers.is_serving(Role.POOL))
        self.subscribers.remove_silent(NOW + pause + SUBSCRIBER_TIMEOUT + timedelta(milliseconds=1))
        self.assertFalse(self.subscribers.is_serving(Role.POOL))


class OperatorRequestsTest(unittest.TestCase):
    def test_drain_of_another_host_goes_to_its_controller(self):
        directory = Directory()
        directory.merge((member(2, "a"),))
        requests = OperatorRequests(HostId("h1"))
        operator = ToPeer(b"op")
        own = requests.handle_drain(operator, HostId("h1"), directory)
        self.assertEqual((own.target, own.message.result.code), (operator, ResultCode.OK))
        forwarded = requests.handle_drain(operator, HostId("h2"), directory)
        address = Address("127.0.0.1", 2)
        self.assertEqual(forwarded.target, ToAddress(address))
        self.assertEqual(forwarded.message, DrainRequest(HostId("h2")))
        (answer,) = requests.relay_drain_reply(address, DrainReply(Result.ok()))
        self.assertEqual(answer.target, operator)
        unknown = requests.handle_drain(operator, HostId("h9"), directory)
        self.assertEqual(unknown.message.result.code, ResultCode.NOT_READY)


class PlatformListTest(unittest.TestCase):
    def test_yields_seeds_and_each_leaving_hint_once(self):
        directory = Directory()
        merge_stored(ConfigRecordBuilder(), directory, stored(1, configuration("p")))
        platform = PlatformList()
        entries = [
            StoredValue("/h/e", b'{"host":"e","state":"live","controller":"10.0.0.1:7"}', 1),
            StoredValue("/h/p-1", b'{"host":"p-1","state":"leaving"}', Revision(4)),
            StoredValue("/h/bad", b"{", Revision(5)),
        ]
        with self.assertLogs("hickorywind.controller.platformlist", "WARNING"):
            addresses, records = platform.extract_addresses_and_leaving(entries, directory)
        self.assertEqual(addresses, (Address("10.0.0.1", 7),))
        self.assertEqual(records, (LeavingRecord(BackendId("p-1"), 1, True),))
        # The backend server reports that it is back; the outdated list must not override that.
        directory.merge((LeavingRecord(BackendId("p-1"), 2, False),))
        self.assertEqual(platform.extract_addresses_and_leaving(entries[:2], directory)[1], ())
