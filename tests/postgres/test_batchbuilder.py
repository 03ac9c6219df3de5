import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from pygwire.messages import Bind, Close, Describe, Execute, Flush, Parse, Query, Sync

from hickorywind.postgres.answers import (
    CLOSE_COMPLETE,
    EXECUTE_REPLY,
    PARSE_COMPLETE,
    AnswerRewriter,
    LocalReply,
    MalformedAnswerError,
    command_complete,
    ready_for_query,
    text_row,
)
from hickorywind.postgres.batch import BatchTerminator
from hickorywind.postgres.batchbuilder import BatchBuilder
from hickorywind.postgres.frames import Frame, FrameSplitter
from hickorywind.postgres.hints import NO_HINTS
from hickorywind.postgres.statementkinds import Read, Write
from hickorywind.protocol.messages import TransactionState
from hickorywind.results import HickorywindError, ResultCode


class _StatementHandler:
    hints = NO_HINTS

    def answer(self, statement):
        return command_complete("LOCAL")


def frames_of(*messages) -> list[Frame]:
    return list(FrameSplitter(1 << 20).feed(b"".join(m.to_wire() for m in messages)))


class BatchBuilderTest(unittest.TestCase):
    def setUp(self):
        self.builder = BatchBuilder(_StatementHandler(), 100_000)

    def add(self, *messages):
        found = [self.builder.add(frame) for frame in frames_of(*messages)]
        return [batch for batch in found if batch is not None]

    def test_parse_is_answered_locally_and_sent_as_a_definition(self):
        (batch,) = self.add(Parse("mine", "SELECT 1"), Sync())
        self.assertEqual(batch.replies, [LocalReply(PARSE_COMPLETE)])
        self.assertEqual((bytes(batch.frames), len(batch.prepared)), (b"", 1))

    def test_same_text_of_different_names_shares_a_definition(self):
        (first,) = self.add(Parse("a", "SELECT 1"), Bind("", "a"), Execute(), Sync())
        (second,) = self.add(Parse("b", "SELECT 1"), Bind("", "b"), Execute(), Sync())
        self.assertEqual((first.frames, first.prepared), (second.frames, second.prepared))
        (other,) = self.add(Parse("b", "SELECT 1", [23]), Bind("", "b"), Execute(), Sync())
        self.assertNotEqual(first.prepared.keys(), other.prepared.keys())

    def test_bind_changes_only_the_statement_name(self):
        bind = Bind("portal", "a", [1], [b"\0\1", None], [1])
        (batch,) = self.add(Parse("a", "SELECT $1, $2"), bind, Sync())
        (name,) = batch.prepared
        self.assertEqual(batch.frames, Bind("portal", name, [1], [b"\0\1", None], [1]).to_wire())

    def test_unnamed_statement_can_be_bound_in_later_batches(self):
        self.add(Parse("", "DELETE FROM t"), Sync())
        (batch,) = self.add(Bind("", ""), Execute(), Sync())
        self.assertEqual(batch.statements, [Write("delete")])
        self.assertEqual(len(batch.prepared), 1)

    def test_close_of_a_statement_is_not_forwarded(self):
        self.add(Parse("a", "SELECT 1"), Sync())
        (batch,) = self.add(Close("S", "a"), Sync())
        self.assertTrue(batch.is_local)
        self.assertEqual(batch.local_replies, CLOSE_COMPLETE)
        (batch,) = self.add(Describe("S", "a"), Sync())
        self.assertIs(batch.refusal.code, ResultCode.UNKNOWN_PREPARED_STATEMENT)

    def test_messages_behind_an_error_change_no_prepared_statement(self):
        self.add(Parse("kept", "SELECT 1"), Parse("closed", "SELECT 2"), Sync())
        (batch,) = self.add(
            *(Parse("new", "SELECT 3"), Bind("", "new"), Execute()),
            *(Close("S", "kept"), Parse("kept", "DELETE FROM t"), Close("S", "closed")),
            *(Parse("skipped", "SELECT 4"), Parse("all", "DEALLOCATE ALL")),
            *(Bind("", "all"), Execute(), Sync()),
        )
        self.builder.undo_changes(batch, reply_count=2)
        (batch,) = self.add(
            *(Bind("", "kept"), Execute(), Bind("", "closed"), Execute()),
            *(Bind("", "new"), Execute(), Sync()),
        )
        self.assertEqual((batch.refusal, batch.statements), (None, [Read()] * 3))
        (batch,) = self.add(Bind("", "skipped"), Sync())
        self.assertIs(batch.refusal.code, ResultCode.UNKNOWN_PREPARED_STATEMENT)

    def test_messages_are_ignored_from_a_refusal_to_sync(self):
        batches = self.add(Parse("", "LISTEN a"), Flush(), Bind(), Execute(), Sync())
        self.assertEqual(
            [batch.terminator for batch in batches], [BatchTerminator.FLUSH, BatchTerminator.SYNC]
        )
        self.assertIsNotNone(batches[0].refusal)
        self.assertEqual((batches[1].refusal, batches[1].is_local), (None, True))

    def test_two_request_ids_in_a_batch_are_refused(self):
        text = "/* hickorywind request_id={} */ DELETE FROM t"
        (batch,) = self.add(
            Parse("a", text.format(1)),
            Parse("b", text.format(2)),
            *(Bind("", "a"), Execute(), Bind("", "b"), Execute(), Sync()),
        )
        self.assertIs(batch.refusal.code, ResultCode.BAD_HINT)

    def test_hint_comment_is_not_part_of_the_definition(self):
        text = "/* hickorywind request_id={} */SELECT 1"
        (first,) = self.add(Parse("", text.format(1)), Bind(), Execute(), Sync())
        (second,) = self.add(Parse("", text.format(2)), Bind(), Execute(), Sync())
        self.assertEqual(first.prepared, second.prepared)
        self.assertEqual((first.hints.request_id, second.hints.request_id), ("1", "2"))

    def test_batch_over_the_size_limit_raises(self):
        parse = Parse("", "SELECT 1")
        with self.assertRaises(HickorywindError) as caught:
            self.add(parse, *[Bind("", "", [], [b"x" * 30_000])] * 4)
        self.assertIs(caught.exception.result.code, ResultCode.MESSAGE_TOO_LARGE)

    @settings(max_examples=400)
    @given(st.lists(st.tuples(st.sampled_from(b"QPBDECSHFXdfcz"), st.binary(max_size=20))))
    def test_garbage_raises_nothing_but_numbered_errors(self, messages):
        builder = BatchBuilder(_StatementHandler(), 100_000)
        for kind, payload in messages:
            data = bytes((kind,)) + (len(payload) + 4).to_bytes(4, "big") + payload
            try:
                builder.add(Frame(bytes((kind,)), data))
            except HickorywindError:
                return

    def test_query_message_completes_a_batch(self):
        (batch,) = self.add(Query("DELETE FROM t"))
        self.assertEqual(
            (batch.terminator, batch.executes_on_backend), (BatchTerminator.QUERY, True)
        )


class AnswerRewriterTest(unittest.TestCase):
    ready = ready_for_query(TransactionState.IDLE)

    def test_local_replies_are_inserted_in_message_order(self):
        replies = [LocalReply(b"<1>"), EXECUTE_REPLY, LocalReply(b"<2>"), EXECUTE_REPLY]
        rewriter = AnswerRewriter(replies)
        done = command_complete("A")
        out = rewriter.feed(text_row("x") + done + done + self.ready) + rewriter.finish()
        self.assertEqual(out, b"<1>" + text_row("x") + done + b"<2>" + done)

    def test_command_complete_is_buffered_until_finish(self):
        rewriter = AnswerRewriter([])
        self.assertEqual(rewriter.feed(command_complete("INSERT 0 1")), b"")
        self.assertEqual(rewriter.finish(), command_complete("INSERT 0 1"))

    def test_no_local_reply_follows_an_error(self):
        rewriter = AnswerRewriter([LocalReply(b"<1>"), EXECUTE_REPLY])
        error = b"E\0\0\0\5\0"
        self.assertEqual(rewriter.feed(error + self.ready) + rewriter.finish(), error)
        self.assertEqual(rewriter.reply_count, 0)

    def test_replies_before_an_error_are_counted(self):
        rewriter = AnswerRewriter([LocalReply(b"<1>"), EXECUTE_REPLY, LocalReply(b"<2>")])
        rewriter.feed(command_complete("A") + b"E\0\0\0\5\0" + self.ready)
        self.assertEqual(rewriter.reply_count, 2)

    def test_incomplete_messages_are_refused(self):
        for data in (b"D", b"D\0\0\0\xff", b"D\0\0\0\0"):
            with self.subTest(data=data), self.assertRaises(MalformedAnswerError):
                AnswerRewriter([]).feed(data)
