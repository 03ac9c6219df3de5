"""Readers of data that other processes and programs write, fed with data of every kind."""

import copy
import json
import logging
import unittest

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from hickorywind.failover.leadership import (
    HostRecord,
    LeadershipRecord,
    decode_host,
    decode_leadership,
)
from hickorywind.platform.documents import decode_backend, decode_configuration
from hickorywind.store.interface import StoredValue
from hickorywind.util.decoding import MalformedDataError
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


def read_stored(decode):
    """Return a reader of bytes for a decoder of stored items that returns None if malformed."""
    return lambda data: decode(StoredValue("servers/i-1", data, 7))


READERS = (
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
    items = document.items() if isinstance(document, dict) else enumerate(document)
    for key, inner in list(items):
        changed = copy.copy(document)
        changed[key] = value
        yield changed
        if isinstance(inner, dict | list):
            for replaced in replace_each(inner, value):
                yield {**changed, key: replaced} if isinstance(changed, dict) else [replaced]


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
