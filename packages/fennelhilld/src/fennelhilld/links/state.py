"""Session state, and its replay on shared links."""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Callable

import xxhash

from fennelhilld.links.messages import Command, CommandKind, TargetLink

# Prepared statements that a connection to a target keeps.
MAX_PREPARED = 256
DIGEST_BYTES = 32


class PreparedShape:
    """A prepared statement, regardless of the name that a client gave it.

    Parameters
    ----------
    writes : bool
        Whether executing it changes data.
    shape : str
        Text that defines the statement, as the client gave it; without arguments.
    """

    __slots__ = ("key", "shape", "writes")

    def __init__(self, writes: bool, shape: str) -> None:
        self.writes = writes
        self.shape = shape
        # Stands for the whole text, of up to 1 MiB, wherever shapes are compared.
        # Clients choose the text, so the hash has to resist collisions.
        digest = hashlib.blake2b(shape.encode(), digest_size=DIGEST_BYTES).digest()
        self.key: tuple[bool, bytes] = (writes, digest)

    @property
    def relay_name(self) -> str:
        """Name of the prepared statement in batches to owners.

        Owners of builds up to a6da826 prepare the shape under this name and don't
        rename what they are sent.  Other shapes may have the same name, so nothing may
        be looked up by it beyond one batch.
        """
        kind = "w" if self.writes else "r"
        return f"f{kind}{xxhash.xxh64_hexdigest(self.shape.encode())}"


class SessionContext:
    """Values and prepared statements of one client session."""

    __slots__ = ("prepared", "values")

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedShape] = {}


class PooledLink:
    """A pooled connection to a target, and the session state that it holds.

    Parameters
    ----------
    connection : TargetLink
        The connection.
    now_ms : float
        Time on this host's clock.
    organisation : str
        The organisation that it serves; empty if any.
    """

    __slots__ = (
        "_names",
        "_prepared",
        "busy_since_ms",
        "connection",
        "end_transaction",
        "idle_since_ms",
        "opened_ms",
        "organisation",
        "paused",
        "rests_since_ms",
        "through_owner",
        "values",
    )

    def __init__(
        self, connection: TargetLink, now_ms: float, organisation: str = ""
    ) -> None:
        self.connection = connection
        self.organisation = organisation
        # Whether an owner picks the connection to the target for each batch.
        self.through_owner: bool = getattr(connection, "through_owner", False)
        self.values: dict[str, str] = {}
        # Names on the connection by key of the shape, the least recently used first.
        self._prepared: dict[tuple[bool, bytes], str] = {}
        self._names = itertools.count(1)
        self.opened_ms = now_ms
        self.idle_since_ms = now_ms
        self.busy_since_ms = now_ms
        # Whether its lease has stopped counting it against the pool's window.
        self.paused = False
        # Rolls back the idle transaction that is open on it; None if there is none.
        self.end_transaction: Callable[[], None] | None = None
        # When the last statement of that transaction was answered.
        self.rests_since_ms = now_ms

    def matches(self, context: SessionContext) -> bool:
        """Return whether no session value has to be replayed.

        Parameters
        ----------
        context : SessionContext
            The session.

        Returns
        -------
        bool
            True if the link holds the session's values.
        """
        return self.values == context.values

    def replay(
        self, context: SessionContext, needed: PreparedShape | None
    ) -> list[Command]:
        """Return the commands that replay a session's state on the link.

        The link is assumed to have that state from now on; if one of the commands
        fails, the caller must close the link.

        Parameters
        ----------
        context : SessionContext
            The session.
        needed : PreparedShape or None
            Prepared statement that the next command executes, if any.

        Returns
        -------
        list of Command
            Commands for the differences only; empty if nothing differs.
        """
        commands = []
        if self.values.keys() - context.values.keys():
            commands.append(Command(CommandKind.RESET))
            self.values = {}
            self.forget_prepared()
        for name, value in context.values.items():
            if self.values.get(name) != value:
                commands.append(Command(CommandKind.SET_VALUE, name=name, value=value))
                self.values[name] = value
        if needed is not None:
            commands += self._prepare(needed)
        return commands

    def prepared_name(self, shape: PreparedShape | None) -> str:
        """Return the name by which the link executes a prepared statement.

        Parameters
        ----------
        shape : PreparedShape or None
            The shape that `replay` was last called with.

        Returns
        -------
        str
            The name; empty without a shape.
        """
        if shape is None:
            return ""
        return shape.relay_name if self.through_owner else self._prepared[shape.key]

    def forget_prepared(self) -> None:
        """Prepare each statement again before its next use."""
        self._prepared.clear()

    def _prepare(self, shape: PreparedShape) -> list[Command]:
        if self.through_owner:
            # The owner may run each batch on another connection.
            return [_prepare_command(shape.relay_name, shape)]
        commands = []
        name = self._prepared.pop(shape.key, "")
        if not name:
            if len(self._prepared) >= MAX_PREPARED:
                unused = self._prepared.pop(next(iter(self._prepared)))
                commands.append(Command(CommandKind.DEALLOCATE, name=unused))
            name = f"f{next(self._names)}"
            commands.append(_prepare_command(name, shape))
        self._prepared[shape.key] = name
        return commands


def _prepare_command(name: str, shape: PreparedShape) -> Command:
    return Command(
        CommandKind.PREPARE, name=name, value=shape.shape, writes=shape.writes
    )
