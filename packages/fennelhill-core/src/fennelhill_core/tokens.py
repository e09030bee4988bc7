"""Signed tokens that callers send back: session tokens and transaction ids."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    # The settings import a YAML parser, which users of positions do not need.
    from fennelhill_core.settings import Fleet

MAC_BYTES = 12
MAX_MAC_KEY_BYTES = 64  # limit of BLAKE2b
MAX_TOKEN_CHARS = 2_048
MAX_SESSION_GROUPS = 16
TOKEN_VERSION = 1


class Position(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A position in a group's log, ordered by term, then by index.

    Parameters
    ----------
    term : int
        Term of the primary that wrote the entry.
    index : int
        Number of the entry in the log.
    """

    term: int = 0
    index: int = 0


class Session(msgspec.Struct, array_like=True):
    """The last position that a session has written, in each group.

    Parameters
    ----------
    version : int
        Version of this format.
    team : str
        Customer team that the session belongs to.
    positions : dict
        Last written `Position` by group name, the most recent last.
    complete : bool
        Whether the session has certainly written to no other group.
    """

    version: int
    team: str
    positions: dict[str, Position]
    complete: bool = True

    @classmethod
    def fresh(cls, team: str, complete: bool = True) -> Session:
        """Return a session without positions.

        Parameters
        ----------
        team : str
            The customer team.
        complete : bool
            Whether the session has certainly written to no group.

        Returns
        -------
        Session
            The session.
        """
        return cls(TOKEN_VERSION, team, {}, complete)

    def minimum_position(self, group: str) -> Position | None:
        """Return the minimum position that a read of this session must see.

        Parameters
        ----------
        group : str
            The database group.

        Returns
        -------
        Position or None
            None if it is unknown, so that only the primary can serve the read.
        """
        if group in self.positions:
            return self.positions[group]
        return Position() if self.complete else None

    def advance(self, group: str, position: Position) -> None:
        """Record a write of this session.

        Parameters
        ----------
        group : str
            The database group.
        position : Position
            Position of the write in the group's log.
        """
        previous = self.positions.pop(group, Position())
        self.positions[group] = max(previous, position)
        if len(self.positions) > MAX_SESSION_GROUPS:
            # Keeps the token small; the dropped position is unknown from now on.
            self.positions.pop(next(iter(self.positions)))
            self.complete = False


class TransactionId(msgspec.Struct, array_like=True, frozen=True):
    """Identifies an open transaction and the entry host that owns its connection.

    Parameters
    ----------
    team : str
        Customer team that the transaction belongs to.
    group : str
        The database group.
    host : str
        Entry host that owns the connection.
    target : str
        Target on which the transaction runs.
    nonce : int
        A random number that makes the id unique.
    """

    team: str
    group: str
    host: str
    target: str
    nonce: int


class Signer:
    """Signs values as URL-safe strings and accepts only strings that it signed.

    Parameters
    ----------
    secrets : list of str
        The first one signs; all of them verify.
    """

    __slots__ = ("_secrets",)

    def __init__(self, secrets: list[str]) -> None:
        self._secrets = [secret.encode() for secret in secrets if secret]

    @classmethod
    def from_config(cls, fleet: Fleet) -> Signer:
        """Build a signer with the fleet's secrets.

        Parameters
        ----------
        fleet : Fleet
            The shared part of the settings.

        Returns
        -------
        Signer
            The signer.
        """
        return cls([fleet.secret, fleet.previous_secret])

    def sign(self, value: Session | TransactionId) -> str:
        """Encode and sign a value.

        Parameters
        ----------
        value : Session or TransactionId
            The value to sign.

        Returns
        -------
        str
            A URL-safe string.
        """
        body = msgspec.json.encode(value)
        purpose = type(value).__name__.encode()
        signed = _mac(self._secrets[0], purpose, body) + body
        return base64.urlsafe_b64encode(signed).decode().rstrip("=")

    def verify_session(self, text: str, team: str) -> Session | None:
        """Verify and decode a session token.

        Parameters
        ----------
        text : str
            The token that the caller sent.
        team : str
            The team that the caller authenticated as.

        Returns
        -------
        Session or None
            None if the token is forged, malformed, of another version or of
            another team: the read then goes to the confirmed primary.
        """
        session = self._verify(text, Session)
        if session is None or session.version != TOKEN_VERSION:
            return None
        return session if session.team == team else None

    def verify_transaction_id(self, text: str, team: str) -> TransactionId | None:
        """Verify and decode a transaction id.

        Parameters
        ----------
        text : str
            The token that the caller sent.
        team : str
            The team that the caller authenticated as.

        Returns
        -------
        TransactionId or None
            None if the id is forged, malformed or of another team.
        """
        transaction = self._verify(text, TransactionId)
        if transaction is None or transaction.team != team:
            return None
        return transaction

    def _verify(self, text: str, value_type: type) -> Session | TransactionId | None:
        if not text or len(text) > MAX_TOKEN_CHARS:
            return None
        padding = "=" * (-len(text) % 4)
        try:
            signed = base64.b64decode(text + padding, altchars=b"-_", validate=True)
        except (binascii.Error, ValueError):
            return None
        mac, body = signed[:MAC_BYTES], signed[MAC_BYTES:]
        purpose = value_type.__name__.encode()
        for secret in self._secrets:
            if hmac.compare_digest(mac, _mac(secret, purpose, body)):
                try:
                    return msgspec.json.decode(body, type=value_type)
                except msgspec.DecodeError:
                    return None
        return None


def _mac(secret: bytes, purpose: bytes, body: bytes) -> bytes:
    # The purpose prevents the use of a session token as a transaction id, and the
    # reverse.
    digest = hashlib.blake2b(
        body, key=secret[:MAX_MAC_KEY_BYTES], digest_size=MAC_BYTES
    )
    digest.update(b"\0" + purpose)
    return digest.digest()
