"""Session state, and its replay on shared links."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import xxhash

from fennelhilld.links.messages import Command, CommandKind, TargetLink


class PreparedShape(msgspec.Struct, frozen=True):
    """A prepared statement, regardless of the name that a client gave it.

    Parameters
    ----------
    writes : bool
        Whether executing it changes data.
    shape : str
        Text that defines the statement, as the client gave it; without arguments.
    """

    writes: bool
    shape: str

    @property
    def link_name(self) -> str:
        """Name on links, the same for all clients that prepare this shape."""
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
        "busy_since_ms",
        "connection",
        "end_transaction",
        "idle_since_ms",
        "opened_ms",
        "organisation",
        "paused",
        "prepared",
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
        self.prepared: set[str] = set()
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
            self.prepared = set()
        for name, value in context.values.items():
            if self.values.get(name) != value:
                commands.append(Command(CommandKind.SET_VALUE, name=name, value=value))
                self.values[name] = value
        if needed is not None and needed.link_name not in self.prepared:
            commands.append(
                Command(
                    CommandKind.PREPARE,
                    name=needed.link_name,
                    value=needed.shape,
                    writes=needed.writes,
                )
            )
            self.prepared.add(needed.link_name)
        return commands
