"""Tests of the replay of session state on shared links."""

from __future__ import annotations

from fennelhilld.links.messages import CommandKind
from fennelhilld.links.state import (
    MAX_PREPARED,
    PooledLink,
    PreparedShape,
    SessionContext,
)

SAME_XXH64 = ("q2c", "c1v8hcsolhgff7n2g7z2o7ls")


def session(values=None, **prepared):
    context = SessionContext()
    context.values = dict(values or {})
    context.prepared = prepared
    return context


def kinds(commands):
    return [command.kind for command in commands]


class TestReplay:
    def test_sends_nothing_for_a_session_without_state(self):
        assert PooledLink(None, 0.0).replay(session(), None) == []

    def test_sends_only_what_differs(self):
        link = PooledLink(None, 0.0)
        link.replay(session({"a": "1", "b": "1"}), None)
        commands = link.replay(session({"a": "1", "b": "2"}), None)
        assert [(command.name, command.value) for command in commands] == [("b", "2")]

    def test_resets_a_link_that_holds_more_than_the_session(self):
        link = PooledLink(None, 0.0)
        shape = PreparedShape(False, "q")
        link.replay(session({"a": "1"}), shape)
        commands = link.replay(session({"b": "2"}), shape)
        assert kinds(commands) == [
            CommandKind.RESET,
            CommandKind.SET_VALUE,
            CommandKind.PREPARE,
        ]

    def test_prepares_a_shape_once_for_all_clients(self):
        link = PooledLink(None, 0.0)
        first_commands = link.replay(session(), PreparedShape(True, "q2c"))
        second_commands = link.replay(session(), PreparedShape(True, "q2c"))
        assert kinds(first_commands) == [CommandKind.PREPARE]
        assert second_commands == []

    def test_gives_reading_and_writing_shapes_different_names(self):
        link = PooledLink(None, 0.0)
        shapes = [PreparedShape(False, "q"), PreparedShape(True, "q")]
        commands = [link.replay(session(), shape)[0] for shape in shapes]
        assert [command.writes for command in commands] == [False, True]
        assert commands[0].name != commands[1].name

    def test_prepares_shapes_with_one_xxh64_hash_by_different_names(self):
        # One client's statement ran in place of another's, whose shape it had chosen
        # its own for.
        link = PooledLink(None, 0.0)
        shapes = [PreparedShape(False, text) for text in SAME_XXH64]
        commands = [*link.replay(session(), shapes[0])]
        commands += link.replay(session(), shapes[1])
        assert [command.value for command in commands] == list(SAME_XXH64)
        names = [command.name for command in commands]
        assert names == [link.prepared_name(shape) for shape in shapes]
        assert names[0] != names[1]

    def test_prepares_each_batch_through_an_owner(self):
        link = PooledLink(None, 0.0)
        link.through_owner = True
        shape = PreparedShape(True, "q2c")
        for _ in range(2):
            (command,) = link.replay(session(), shape)
            assert command.name == link.prepared_name(shape)

    def test_keeps_the_statements_used_last_and_a_bounded_number(self):
        link = PooledLink(None, 0.0)
        shapes = [PreparedShape(False, f"q{n}") for n in range(2 * MAX_PREPARED)]
        names = set()
        for shape in shapes:
            for command in link.replay(session(), shape):
                if command.kind is CommandKind.DEALLOCATE:
                    names.remove(command.name)
                else:
                    names.add(command.name)
            # In use all the time, so it is never prepared again.
            assert link.replay(session(), shapes[0]) == []
            assert len(names) <= MAX_PREPARED
        assert kinds(link.replay(session(), shapes[1])) == [
            CommandKind.DEALLOCATE,
            CommandKind.PREPARE,
        ]


class TestMatches:
    def test_compares_all_values(self):
        link = PooledLink(None, 0.0)
        link.replay(session({"a": "1"}), None)
        assert link.matches(session({"a": "1"}))
        assert not link.matches(session({"a": "1", "b": "1"}))
