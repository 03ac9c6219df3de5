import unittest

from hypothesis import given
from hypothesis import strategies as st

from hickorywind.ids import AccessMode, InstanceRole, LogPosition
from hickorywind.platform.lineprotocol import (
    MAX_MESSAGE_BYTES,
    LineBackendCodec,
    LineCallerCodec,
    parse_position,
    render_position,
)
from hickorywind.ports.replies import (
    BackendErrorKind,
    LocalCompletion,
    ProxyFailure,
    RelayedAnswer,
    TransactionState,
)
from hickorywind.ports.statements import (
    Access,
    Begin,
    Commit,
    Connect,
    Deallocate,
    Execute,
    MalformedInput,
    Prepare,
    Request,
    Rollback,
    SetValue,
    Terminate,
)
from hickorywind.results import Result, ResultCode

STATEMENTS = {
    "BEGIN": Begin(False),
    "BEGIN READ": Begin(True),
    "COMMIT": Commit(),
    "ROLLBACK": Rollback(),
    "READ 1a4": Access(AccessMode.READ),
    "WRITE 1a4 some data with blanks": Access(AccessMode.WRITE),
    "SET lang a b c": SetValue("lang", "a b c"),
    "PREPARE s1 WRITE q2c": Prepare("s1", AccessMode.WRITE, "q2c"),
    "EXECUTE s1 1a4 x  y": Execute("s1", "1a4 x  y"),
    "DEALLOCATE s1": Deallocate("s1"),
}


class CallerCodecTest(unittest.TestCase):
    def feed_one(self, data):
        events = LineCallerCodec().feed(data)
        self.assertEqual(len(events), 1, events)
        return events[0]

    def test_every_statement_is_parsed_and_keeps_its_exact_text(self):
        for text, statement in STATEMENTS.items():
            event = self.feed_one(f"QUERY id7 {text}\r\n".encode())
            self.assertEqual(event, Request("id7", statement, text))

    def test_session_messages(self):
        self.assertEqual(self.feed_one(b"CONNECT db u3\r\n"), Connect("db", "u3"))
        self.assertEqual(self.feed_one(b"TERMINATE\r\n"), Terminate())

    def test_statements_that_only_a_proxy_sends_are_refused(self):
        for text in ("AFTER 3.1 READ x", "STATUS", "RESET", "PAUSE 4", "STEPDOWN 4", "READ"):
            event = self.feed_one(f"QUERY q {text}\r\n".encode())
            self.assertIsInstance(event, MalformedInput)
            self.assertFalse(event.is_fatal)

    def test_the_proxys_request_id_is_refused(self):
        self.assertIsInstance(self.feed_one(b"QUERY - READ x\r\n"), MalformedInput)

    def test_request_read_together_with_undecodable_bytes_is_not_dropped(self):
        request, malformed = LineCallerCodec().feed(b"QUERY q READ x\r\nQUERY r READ \xff\r\n")
        self.assertEqual(request.text, "READ x")
        self.assertTrue(malformed.is_fatal)

    def test_line_break_within_a_message_is_refused(self):
        event = self.feed_one(b"QUERY q WRITE x a\nQUERY r WRITE x b\r\n")
        self.assertTrue(event.is_fatal)

    def test_message_of_the_maximum_size_passes_and_a_longer_one_is_refused(self):
        head = b"QUERY q WRITE x "
        fits = head + b"a" * (MAX_MESSAGE_BYTES - len(head)) + b"\r\n"
        self.assertIsInstance(self.feed_one(fits), Request)
        event = self.feed_one(head + b"a" * MAX_MESSAGE_BYTES)
        self.assertTrue(event.is_too_large and event.is_fatal)

    @given(st.integers(1, 60))
    def test_any_cut_of_the_stream_gives_the_same_events(self, size):
        data = b"CONNECT db u\r\nQUERY a READ x\r\nQUERY b WRITE y z\r\nTERMINATE\r\n"
        codec = LineCallerCodec()
        events = []
        for start in range(0, len(data), size):
            events += codec.feed(data[start : start + size])
        self.assertEqual(events, LineCallerCodec().feed(data))

    @given(st.binary(max_size=200))
    def test_no_input_raises(self, data):
        LineCallerCodec().feed(data + b"\r\n")

    def test_replies(self):
        codec = LineCallerCodec()
        done = codec.encode_reply(LocalCompletion(), TransactionState.OPEN)
        self.assertEqual(done, b"COMPLETE -\r\nREADY T -\r\n")
        result = Result.not_run(ResultCode.QUEUE_FULL, "full", 120)
        failed = codec.encode_reply(ProxyFailure(result), TransactionState.IDLE)
        self.assertEqual(failed, b"ERROR BUSY [2001] full retry_after_ms=120\r\nREADY I -\r\n")

    def test_error_codes_claim_not_run_only_for_not_run_results(self):
        cases = [
            (Result.unknown(ResultCode.CONNECTION_LOST, "x"), b"ERROR INDOUBT"),
            (Result.unknown(ResultCode.COMMIT_UNPROVEN, "x"), b"ERROR INDOUBT"),
            (Result.unknown(ResultCode.DEADLINE_PASSED, "x"), b"ERROR TIMEOUT"),
            (Result.not_run(ResultCode.TRANSACTION_LOST, "x"), b"ERROR ABORTED"),
            (Result.not_run(ResultCode.UNKNOWN_SERVICE, "x"), b"ERROR NODB"),
            (Result.not_run(ResultCode.NO_PRIMARY, "x"), b"ERROR BUSY"),
            (Result.not_run(ResultCode.REPLICA_BEHIND, "x"), b"ERROR LAGGING"),
        ]
        for result, start in cases:
            data = LineCallerCodec().encode_reply(ProxyFailure(result), TransactionState.IDLE)
            self.assertTrue(data.startswith(start), data)


class BackendCodecTest(unittest.TestCase):
    def test_answer_with_rows(self):
        codec = LineBackendCodec()
        data = b"ROW a b\r\nROW c\r\nCOMPLETE 7.x\r\nREADY I 3.1209\r\n"
        (answer,) = codec.feed(data)
        self.assertEqual(answer.rows, ("a b", "c"))
        self.assertEqual(answer.completion_tag, "7.x")
        self.assertEqual(answer.position, LogPosition(3, 1209))
        relayed = LineCallerCodec().encode_reply(RelayedAnswer(answer), TransactionState.IDLE)
        self.assertEqual(relayed, b"ROW a b\r\nROW c\r\nCOMPLETE 7.x\r\nREADY I -\r\n")

    def test_errors_are_classified_and_relayed_unchanged(self):
        (answer,) = LineBackendCodec().feed(b"ERROR READONLY i-7f\r\nREADY E 3.1\r\n")
        self.assertEqual(answer.error.kind, BackendErrorKind.READ_ONLY)
        self.assertEqual(answer.error.text, "READONLY i-7f")
        self.assertEqual(answer.state, TransactionState.FAILED)

    def test_refused_connection_exposes_its_error(self):
        codec = LineBackendCodec()
        self.assertEqual(codec.feed(b"ERROR CONNLIMIT i-7f\r\n"), [])
        self.assertEqual(codec.pending_error.kind, BackendErrorKind.CONNECTION_LIMIT)

    def test_unknown_message_raises(self):
        for data in (b"WHAT\r\n", b"READY X 3.1\r\n", b"ROW \xff\r\n"):
            with self.assertRaises(ValueError):
                LineBackendCodec().feed(data)

    def test_statements(self):
        codec = LineBackendCodec()
        after = LogPosition(3, 7)
        self.assertEqual(codec.encode_begin(True, after), b"QUERY - AFTER 3.7 BEGIN READ\r\n")
        self.assertEqual(
            codec.encode_statement("q", "READ x", after), b"QUERY q AFTER 3.7 READ x\r\n"
        )
        self.assertEqual(codec.encode_execute("q", "rS", "x", None), b"QUERY q EXECUTE rS x\r\n")
        self.assertEqual(codec.encode_connect("s", "c", "i"), b"CONNECT s c i\r\n")

    def test_status(self):
        codec = LineBackendCodec()
        (answer,) = codec.feed(b"ROW replica 3 3.9 0 12 2 17\r\nCOMPLETE -\r\nREADY I 3.4\r\n")
        status = codec.decode_status(answer)
        self.assertEqual(status.role, InstanceRole.REPLICA)
        self.assertEqual(status.received_position, LogPosition(3, 9))
        self.assertEqual(status.applied_position, LogPosition(3, 4))
        (busy,) = codec.feed(b"ERROR BUSY i\r\nREADY I 3.4\r\n")
        self.assertIsNone(codec.decode_status(busy))

    def test_positions(self):
        self.assertEqual(parse_position(render_position(LogPosition(2, 5))), LogPosition(2, 5))
        too_large = ("3." + "9" * 19, "9" * 5_000 + ".1")
        for text in ("-", "3", "3.", ".4", "a.b", "3.4.5", "3.\u00b2", *too_large):
            self.assertIsNone(parse_position(text))

    def test_status_with_a_number_out_of_range_is_no_status(self):
        codec = LineBackendCodec()
        for term in ("\u00b2", "9" * 19, "9" * 5_000, "-1"):
            line = f"ROW replica {term} 3.9 0 12 2 17\r\nCOMPLETE -\r\nREADY I 3.4\r\n"
            (answer,) = codec.feed(line.encode())
            self.assertIsNone(codec.decode_status(answer))
