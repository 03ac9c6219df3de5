import base64
import unittest

import msgspec
import xxhash
from hypothesis import given, settings
from hypothesis import strategies as st

from hickorywind.ids import LogPosition, ServiceName, Term
from hickorywind.results import HickorywindError, ResultCode
from hickorywind.routing.session import (
    KnownFloor,
    NoFloor,
    SessionFloors,
    TokenContent,
    UnknownFloor,
    decode_token,
    encode_token,
    join_positions,
)

A = ServiceName("a")
B = ServiceName("b")
positions = st.builds(
    LogPosition, st.integers(0, 2**40).map(Term), st.integers(min_value=0, max_value=2**60)
)


def at(term: int, offset: int) -> LogPosition:
    return LogPosition(Term(term), offset)


class FloorsTest(unittest.TestCase):
    def test_new_session_has_no_floor(self):
        self.assertEqual(SessionFloors.from_startup(False, None).floor(A), NoFloor())

    def test_session_id_without_token_has_an_unknown_floor(self):
        floors = SessionFloors.from_startup(True, None)
        self.assertEqual(floors.floor(A), UnknownFloor())
        floors.advance(A, at(1, 5))
        self.assertEqual(floors.floor(A), KnownFloor(at(1, 5)))
        self.assertEqual(floors.floor(B), UnknownFloor())

    def test_floor_never_decreases(self):
        floors = SessionFloors.from_startup(False, None)
        self.assertTrue(floors.advance(A, at(2, 8)))
        self.assertFalse(floors.advance(A, at(2, 7)))
        floors.merge_token(encode_token(TokenContent({A: at(1, 3)})))
        self.assertEqual(floors.floor(A), KnownFloor(at(2, 8)))

    def test_floor_is_unknown_after_an_uncertain_write_until_the_primary_answers(self):
        floors = SessionFloors.from_startup(False, None)
        floors.advance(A, at(1, 5), from_primary=True)
        floors.mark_uncertain(A)
        resumed = SessionFloors.from_startup(False, floors.token())
        for session in (floors, resumed):
            self.assertEqual(session.floor(A), UnknownFloor())
            session.advance(A, at(1, 5))
            self.assertEqual(session.floor(A), UnknownFloor())
            session.advance(A, at(1, 4), from_primary=True)
            self.assertEqual(session.floor(A), KnownFloor(at(1, 5)))

    @settings(max_examples=200)
    @given(positions, positions)
    def test_joined_position_contains_both(self, first, second):
        joined = join_positions(first, second)
        self.assertTrue(joined.contains(first) and joined.contains(second))


class TokenTest(unittest.TestCase):
    @settings(max_examples=200)
    @given(
        st.dictionaries(st.text(max_size=20).map(ServiceName), positions, max_size=8),
        st.frozensets(st.text(max_size=20).map(ServiceName), max_size=4),
    )
    def test_round_trip(self, seen_positions, uncertain):
        content = TokenContent(seen_positions, uncertain)
        self.assertEqual(decode_token(encode_token(content)), content)

    @settings(max_examples=300)
    @given(st.text(max_size=60))
    def test_invalid_token_is_refused_with_bad_token(self, text):
        for candidate in (text, "hw1." + text):
            with self.assertRaises(HickorywindError) as caught:
                decode_token(candidate)
            self.assertIs(caught.exception.result.code, ResultCode.BAD_TOKEN)

    def test_token_that_a_caller_made_with_a_right_checksum_is_refused_if_malformed(self):
        deep = b"\x91" * 5_000 + b"\x90"
        bodies = [msgspec.msgpack.encode([{"a": [1, 2**64 - 1]}, []]), b"\x93\x80\x90" + deep, deep]
        for body in bodies:
            checksum = xxhash.xxh3_64_digest(b"hw1." + body)
            token = "hw1." + base64.urlsafe_b64encode(checksum + body).decode().rstrip("=")
            with self.assertRaises(HickorywindError) as caught:
                decode_token(token)
            self.assertIs(caught.exception.result.code, ResultCode.BAD_TOKEN)
            self.assertIn("malformed", caught.exception.result.reason)

    def test_every_changed_character_is_detected(self):
        token = encode_token(TokenContent({A: at(3, 12345)}))
        for index in range(len(token)):
            changed = token[:index] + ("x" if token[index] != "x" else "y") + token[index + 1 :]
            with self.subTest(index=index), self.assertRaises(HickorywindError):
                decode_token(changed)
