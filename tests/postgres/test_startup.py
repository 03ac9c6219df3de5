import struct
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from pygwire.messages import SSLRequest, StartupMessage

from hickorywind.postgres.startup import (
    CancellationRequest,
    EncryptionRequest,
    StartupParameters,
    decode_packet,
    parse_packet_length,
)
from hickorywind.results import HickorywindError, ResultCode


class StartupPacketTest(unittest.TestCase):
    def test_valid_packets_are_decoded(self):
        startup = StartupMessage({"user": "crew"}).to_wire()
        self.assertEqual(decode_packet(startup[4:]), StartupParameters({"user": "crew"}, 0))
        self.assertEqual(decode_packet(SSLRequest().to_wire()[4:]), EncryptionRequest())
        cancel = struct.pack("!III", 80877102, 7, 9)
        self.assertEqual(decode_packet(cancel), CancellationRequest(7, struct.pack("!I", 9)))

    def test_invalid_lengths_are_refused(self):
        for length in (0, 7, 10_001, 2**32 - 1):
            with self.subTest(length=length), self.assertRaises(HickorywindError):
                parse_packet_length(struct.pack("!I", length))

    def test_malformed_packets_are_refused(self):
        for payload in (
            struct.pack("!I", 0x00020000),
            struct.pack("!I", 0x00030000) + b"user\0crew",
            struct.pack("!I", 0x00030000) + b"user\0\xff\0\0",
            struct.pack("!II", 80877102, 7),
        ):
            with self.subTest(payload=payload), self.assertRaises(HickorywindError):
                decode_packet(payload)

    @settings(max_examples=300)
    @given(st.binary(min_size=4, max_size=80))
    def test_garbage_is_refused_by_number(self, payload):
        for prefixed in (payload, struct.pack("!I", 0x00030000) + payload):
            try:
                decode_packet(prefixed)
            except HickorywindError as error:
                self.assertIs(error.result.code, ResultCode.BAD_STARTUP)
