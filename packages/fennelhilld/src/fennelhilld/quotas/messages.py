"""Messages between hosts about permits, tokens and promises, sent as datagrams.

Permit queries are as frequent as operations, so fields with default values are left
out, and names are short.
"""

from __future__ import annotations

import msgspec


class PermitQuery(msgspec.Struct, tag="permit", frozen=True, omit_defaults=True):
    """Asks an issuer for permits.

    Parameters
    ----------
    organisation : str
        The organisation.
    rate : float
        Its rate in a second, as the asking host knows it.
    burst : float
        Its burst, likewise.
    count : int
        Number of permits.
    """

    organisation: str
    rate: float
    burst: float = 0.0
    count: int = 1


class PermitAnswer(msgspec.Struct, tag="permits", frozen=True, omit_defaults=True):
    """Answers a `PermitQuery`.

    Parameters
    ----------
    granted : int
        Number of permits.
    retry_ms : float
        Expected time until the next token, if fewer than asked for.
    issuing : bool
        Whether the host is the issuer; if not, it has not decided anything.
    issuer : str
        The issuer, if the host is not and knows it; else empty.
    """

    granted: int = 0
    retry_ms: float = 0.0
    issuing: bool = True
    issuer: str = ""


class TransferQuery(msgspec.Struct, tag="transfer", frozen=True, omit_defaults=True):
    """Asks the issuer of another zone for tokens.

    Parameters
    ----------
    organisation : str
        The organisation.
    tokens : float
        Number of tokens.
    """

    organisation: str
    tokens: float


class TransferAnswer(msgspec.Struct, tag="tokens", frozen=True, omit_defaults=True):
    """Answers a `TransferQuery`; the tokens have left the sender's bucket.

    Parameters
    ----------
    tokens : float
        Number of tokens.
    spare : float
        Tokens that the sender could have given in addition.
    issuing : bool
        Whether the host is the issuer.
    issuer : str
        The issuer, if the host is not and knows it; else empty.
    """

    tokens: float = 0.0
    spare: float = 0.0
    issuing: bool = True
    issuer: str = ""


class PromiseQuery(msgspec.Struct, tag="promise", frozen=True, omit_defaults=True):
    """Asks for a promise to accept no other issuer of a partition of the zone.

    Parameters
    ----------
    candidate : str
        The asking host.
    started : int
        Tells its process from earlier ones of the same host.
    partition : int
        The partition.
    version : int
        Version of the newest change to the list of hosts that the candidate knows.
    zone_hosts : int
        Digest of the zone's hosts on that list.
    round : int
        Number of the candidate's round of queries; later rounds have higher ones.
    release : bool
        Whether the candidate gives the promise of this and earlier rounds back.
    """

    candidate: str
    started: int
    partition: int
    version: int
    zone_hosts: int
    round: int
    release: bool = False


class PromiseAnswer(msgspec.Struct, tag="promised", frozen=True, omit_defaults=True):
    """Answers a `PromiseQuery`.

    Parameters
    ----------
    granted : bool
        Whether the promise is given.
    wait_ms : float
        Time for which permits of a predecessor that the host had promised to may still
        be used.
    forgetful_ms : float
        Time for which an earlier promise, given before this host's process started,
        may still be relied on.
    issuing : bool
        Whether the host is itself the issuer.
    issuer : str
        The host that has the promise instead; empty if unknown.
    """

    granted: bool = False
    wait_ms: float = 0.0
    forgetful_ms: float = 0.0
    issuing: bool = False
    issuer: str = ""


QuotaQuery = PermitQuery | TransferQuery | PromiseQuery
QuotaAnswer = PermitAnswer | TransferAnswer | PromiseAnswer
