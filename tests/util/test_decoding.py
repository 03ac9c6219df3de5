"""Readers of data that other processes and programs write, fed with data of every kind."""

import copy
import json
import logging
import unittest

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from hickorywind.configuration.acceptance import ChangeEnvelope, decode_envelope
from hickorywind.configuration.validate import require_valid
from hickorywind.controller.platformlist import PlatformList
from hickorywind.failover.leadership import (
    HostRecord,
    LeadershipRecord,
    decode_host,
    decode_leadership,
)
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import Address, LogPosition
from hickorywind.membership.directory import Directory
from hickorywind.platform.documents import decode_backend, decode_configuration
from hickorywind.protocol.codec import decode as decode_message
from hickorywind.protocol.messages import (
    PROTOCOL_VERSION,
    CopiedItem,
    CopyReply,
    EndedLease,
    Greeting,
    GreetingReply,
    PeerReport,
    PositionSample,
    RecordBatch,
)
from hickorywind.protocol.records import ConfigHeadRecord, GroupRecord
from hickorywind.results import HickorywindError, ResultCode, UserError
from hickorywind.store.interface import StoredValue
from hickorywind.util.clock import milliseconds
from hickorywind.util.decoding import MalformedDataError, decode
from tests.configuration.samples import make_account_configuration
from tests.platform.test_documents import SERVER, configuration

DEEP = b"[" * 50_000 + b"]" * 50_000
VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text()),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)
ACCOUNT = {"name": "a", "api_keys": ["k"], "rate_per_s": 5, "burst": 4}
CONFIGURATION = {**configuration(), "tenants": [ACCOUNT]}
HOST = msgspec.to_builtins(HostRecord("h1", 1, "z1", ("10.0.0.1", 7), 3, {"ledger": 5}))
LEADERSHIP = msgspec.to_builtins(LeadershipRecord("i-a", "open", 2, term=4))
ENTRY = {"host": "h1", "state": "live", "controller": "10.0.0.1:7"}
ENVELOPE = msgspec.to_builtins(
    ChangeEnvelope(
        change_id="c1",
        author="a",
        note="n",
        reviewed_revision=3,
        recent_changes=("c0",),
        document=make_account_configuration(),
    )
)
STATUS = {
    "backend": "i-a",
    "service": "ledger",
    "role": "primary",
    "term": 3,
    "proposer": "h1/5",
    "received": [3, 5],
    "committed": [3, 5],
    "applied": [3, 4],
    "silence_ms": 4.5,
    "leaving": False,
    "connections_used": 3,
    "connections_limit": 9,
    "peers": [{"backend": "i-b", "received": [3, 5], "silence_ms": 1}],
}
MESSAGES = (
    Greeting(1, "h1", 5, "z1", Address("10.0.0.1", 7), {"servers/": 9}),
    GreetingReply(
        1,
        "h1",
        5,
        "z1",
        {"servers/": 9},
        (PositionSample("ledger", LogPosition(3, 5), 8),),
        False,
        (EndedLease(3, 8),),
        reports=(PeerReport("h2", 5, 8, False, 8),),
        store_contact_ms=8,
    ),
    CopyReply(1, "servers/", 9, (CopiedItem("servers/i-a", b"{}", 9),)),
    RecordBatch((GroupRecord("ledger", 3, "i-a"), ConfigHeadRecord(9, "d"))),
)


def read_stored(decode):
    """Return a reader of bytes for a decoder of stored items that returns None if malformed."""
    return lambda data: decode(StoredValue("servers/i-1", data, 7))


def read_entry(data):
    entries = [StoredValue("/platform/hosts/h1", data, 7)]
    addresses, _ = PlatformList().extract_addresses_and_leaving(entries, Directory())
    return addresses[0] if addresses else None


def read_envelope(data):
    try:
        require_valid((envelope := decode_envelope(data)).document)
    except UserError as error:
        raise MalformedDataError(str(error)[:200]) from None
    return envelope


READERS = (
    (read_entry, ENTRY),
    (read_envelope, ENVELOPE),
    (lambda data: decode(msgspec.json.Decoder(BackendStatus), data), STATUS),
    (read_stored(decode_backend), SERVER),
    (read_stored(decode_configuration), CONFIGURATION),
    (decode_host, HOST),
    (decode_leadership, LEADERSHIP),
)


def read(reader, data):
    """Return what a reader makes of data, None if it is malformed."""
    try:
        return reader(data)
    except MalformedDataError as error:
        assert 0 < len(str(error)) <= 200
        return None


def replace_each(document, value):
    """Yield copies of a document in each of which one value is replaced."""
    if isinstance(document, tuple):
        document = list(document)
    items = document.items() if isinstance(document, dict) else enumerate(document)
    for key, inner in list(items):
        changed = copy.copy(document)
        changed[key] = value
        yield changed
        if isinstance(inner, dict | list | tuple):
            for replaced in replace_each(inner, value):
                outer = copy.copy(document)
                outer[key] = replaced
                yield outer


class ReaderTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_documents_are_read(self):
        for reader, document in READERS:
            self.assertIsNotNone(read(reader, json.dumps(document).encode()))

    def test_deep_nesting_is_malformed(self):
        for reader, document in READERS:
            data = json.dumps(document).encode()
            for nested in (DEEP, data[:-1] + b', "x": ' + DEEP + b"}", b'{"x": ' * 50_000):
                self.assertIsNone(read(reader, nested))

    @given(st.binary())
    def test_bytes_raise_no_other_error(self, data):
        for reader, _ in READERS:
            read(reader, data)

    @given(VALUES)
    @example(-1)
    @example(2**63)
    @example(10**400)
    @example(8.7e16)
    @example(1e300)
    @example(float("nan"))
    @example("10.0.0.1:99999999999")
    @example("10.0.0.1:" + "9" * 5_000)
    @example("a\r\nb")
    @example("\ud800")
    def test_one_wrong_value_raises_no_other_error_and_can_be_passed_on(self, value):
        for reader, document in READERS:
            for changed in replace_each(document, value):
                result = read(reader, json.dumps(changed).encode())
                if isinstance(result, msgspec.Struct):
                    msgspec.msgpack.encode(result)


def to_list(message):
    """Return a message as the list by which it is encoded."""
    return list(msgspec.to_builtins(message, builtin_types=(bytes,)))


class MessageTest(unittest.TestCase):
    def read(self, data):
        try:
            return decode_message(bytes((PROTOCOL_VERSION,)) + data)
        except HickorywindError as error:
            self.assertIs(error.result.code, ResultCode.MALFORMED_MESSAGE)
            return None

    def test_messages_are_read(self):
        for message in MESSAGES:
            self.assertEqual(self.read(msgspec.msgpack.encode(to_list(message))), message)

    def test_deep_nesting_is_malformed(self):
        for message in MESSAGES:
            fields = to_list(message)
            nested = msgspec.msgpack.encode(fields)[1:] + b"\x91" * 50_000 + b"\x90"
            self.assertIsNone(self.read(bytes((0x91 + len(fields),)) + nested))

    @given(st.binary())
    def test_bytes_raise_no_other_error(self, data):
        self.read(data)

    @given(VALUES)
    @example(-1)
    @example(2**64 - 1)
    @example(8.7e16)
    @example(float("nan"))
    def test_one_wrong_value_raises_no_other_error_and_can_be_passed_on(self, value):
        for message in MESSAGES:
            for changed in replace_each(to_list(message), value):
                try:
                    data = msgspec.msgpack.encode(changed)
                except (OverflowError, UnicodeEncodeError):
                    continue  # MessagePack can't hold the value
                result = self.read(data)
                for sample in getattr(result, "samples", ()):
                    milliseconds(sample.age_ms)
                for ended in getattr(result, "ended_leases", ()):
                    milliseconds(ended.age_ms)
