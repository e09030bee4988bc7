"""Tests of the line protocol's decoding and encoding."""

from __future__ import annotations

import asyncio

import pytest
from adapter.lines import (
    ERROR_WORDS,
    FAULTS_BY_WORD,
    MAX_MESSAGE_BYTES,
    LineReader,
    MessageError,
    MessageTooLargeError,
    encode_command,
    encode_error,
    encode_reply,
    parse_position,
    parse_statement,
)
from fennelhill_core import codes
from fennelhill_core.byte_streams import ByteStream
from fennelhill_core.codes import CODES, Outcome
from fennelhill_core.tokens import Position
from fennelhilld.links.messages import Command, CommandKind
from fennelhilld.statements.messages import Reply, StatementKind, TransactionState
from hypothesis import given
from hypothesis import strategies as st

NOT_RUN_WORDS = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}


def stream_of(*chunks):
    """Return a stream that has received the given chunks and then stays silent."""
    stream = ByteStream()
    loop = asyncio.get_running_loop()
    for chunk in chunks:
        loop.call_soon(stream.data_received, chunk)
    return stream


class TestStatements:
    @pytest.mark.parametrize(
        ("text", "kind"),
        [
            ("BEGIN", StatementKind.BEGIN),
            ("BEGIN READ", StatementKind.BEGIN_READ_ONLY),
            ("COMMIT", StatementKind.COMMIT),
            ("ROLLBACK", StatementKind.ROLLBACK),
            ("READ 1a4", StatementKind.READ),
            ("WRITE 1a4 data", StatementKind.WRITE),
            ("SET name value", StatementKind.SET_VALUE),
            ("PREPARE s1 READ q2", StatementKind.PREPARE),
            ("EXECUTE s1 1a4", StatementKind.EXECUTE),
            ("DEALLOC s1", StatementKind.DEALLOCATE),
        ],
    )
    def test_are_decoded(self, text, kind):
        statement = parse_statement("id", text)
        assert statement.kind is kind
        assert statement.text == text

    @pytest.mark.parametrize(
        "text",
        [
            "",
            "begin",
            "BEGIN WRITE",
            "COMMIT now",
            "READ",
            "READ a b",
            "WRITE a",
            "SET a",
            "PREPARE s DELETE q",
            # It was acknowledged, but unknown at each owner of a target.
            "PREPARE s READ ",
            "EXECUTE s",
            "DEALLOC",
            "AFTERLSN 1.2 READ a",
            "STATUS",
            "RESET",
            "DEMOTE 3",
        ],
    )
    def test_that_clients_may_not_send_are_rejected(self, text):
        with pytest.raises(MessageError):
            parse_statement("id", text)

    @given(st.text(max_size=80))
    def test_any_text_is_decoded_or_rejected(self, text):
        try:
            statement = parse_statement("id", text)
        except MessageError:
            return
        assert statement.text == text

    def test_keep_spaces_in_the_last_field(self):
        assert parse_statement("id", "SET a b  c").value == "b  c"
        assert parse_statement("id", "EXECUTE s i d  e").arguments == "i d  e"


class TestPositions:
    def test_are_decoded(self):
        assert parse_position("3.1207") == Position(3, 1207)
        assert parse_position("-") is None

    @pytest.mark.parametrize(
        "text", ["1.\u00b2", "\u0663.1", f"1.{2**63}", "1." + "9" * 5_000]
    )
    def test_that_are_no_numbers_of_a_log_are_rejected(self, text):
        """Guards against an answer of a target that ends the task of its link."""
        with pytest.raises(MessageError):
            parse_position(text)

    @given(st.text(max_size=12))
    def test_any_text_is_decoded_or_rejected(self, text):
        try:
            parse_position(text)
        except MessageError:
            return


class TestCommands:
    def test_add_the_minimum_position_to_an_unchanged_read(self):
        command = Command(
            CommandKind.STATEMENT,
            parse_statement("5c0e", "READ 1a4"),
            after=Position(3, 1207),
        )
        assert encode_command(command) == "QUERY 5c0e AFTERLSN 3.1207 READ 1a4"

    def test_replace_only_the_name_of_a_prepared_statement(self):
        statement = parse_statement("5c0e", "EXECUTE s1 1a4 some data")
        command = Command(CommandKind.STATEMENT, statement, name="fw1")
        assert encode_command(command) == "QUERY 5c0e EXECUTE fw1 1a4 some data"

    def test_of_the_daemon_have_no_client_id(self):
        prepare = Command(CommandKind.PREPARE, name="fw1", value="q2c", writes=True)
        assert encode_command(prepare) == "QUERY - PREPARE fw1 WRITE q2c"
        assert encode_command(Command(CommandKind.ROLLBACK)) == "QUERY - ROLLBACK"
        demotion = Command(CommandKind.DEMOTE, term=4)
        assert encode_command(demotion) == "QUERY - DEMOTE 4"

    def test_for_a_commit_have_the_clients_id(self):
        command = Command(CommandKind.COMMIT, parse_statement("77", "COMMIT"))
        assert encode_command(command) == "QUERY 77 COMMIT"


class TestReplies:
    def test_contain_rows_signature_state_and_position(self):
        reply = Reply(["r 1", "r2"], "7.1f", position=Position(3, 9))
        expected = b"DATAROW r 1\r\nDATAROW r2\r\nCOMPLETE 7.1f\r\nREADY I 3.9\r\n"
        assert encode_reply(reply) == expected

    def test_of_the_daemon_itself_have_no_signature(self):
        reply = Reply(state=TransactionState.OPEN)
        assert encode_reply(reply) == b"COMPLETE -\r\nREADY T -\r\n"

    def test_errors_are_numbered_and_one_line(self):
        reply = Reply(code=codes.OVERLOADED, detail="two\r\nlines")
        text = encode_reply(reply).decode()
        assert text.startswith("ERROR BUSY 1010 overloaded: two lines\r\nREADY I -")
        assert text.count("\r\n") == 2


class TestErrorWords:
    def test_that_promise_no_effect_are_used_only_for_codes_that_do(self):
        for code, word in ERROR_WORDS.items():
            if word in NOT_RUN_WORDS:
                assert code.outcome is Outcome.NOT_RUN, code.name

    def test_an_unknown_outcome_is_never_reported_as_a_failure(self):
        for code in CODES.values():
            word = encode_error(code).split(" ")[1]
            if code.outcome is Outcome.UNKNOWN:
                assert word in ("INDOUBT", "TIMEOUT"), code.name

    def test_of_targets_promise_no_effect_if_nothing_was_run(self):
        for word, fault in FAULTS_BY_WORD.items():
            if fault.not_run:
                assert word in NOT_RUN_WORDS | {"NOSTMT"}


class TestLineReader:
    def read(self, *chunks, count=1, timeout_s=0.05):
        async def main():
            reader = LineReader(stream_of(*chunks))
            return [await reader.read_line(timeout_s) for _ in range(count)]

        return asyncio.run(main())

    def test_joins_chunks_and_splits_lines(self):
        assert self.read(b"QUE", b"RY 1\r", b"\nnext\r\n", count=2) == [
            "QUERY 1",
            "next",
        ]

    def test_an_incomplete_line_times_out(self):
        with pytest.raises(TimeoutError):
            self.read(b"QUERY")

    def test_rejects_a_line_over_the_limit(self):
        with pytest.raises(MessageTooLargeError):
            self.read(b"x" * (MAX_MESSAGE_BYTES + 1))

    def test_rejects_bytes_that_are_not_utf8(self):
        with pytest.raises(MessageError):
            self.read(b"\xff\xfe\r\n")

    @given(st.lists(st.binary(max_size=30), max_size=6))
    def test_any_bytes_are_read_or_rejected(self, chunks):
        try:
            self.read(*chunks, count=3, timeout_s=0.001)
        except (MessageError, TimeoutError):
            return
