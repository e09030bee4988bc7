"""Clients of the platform's services over HTTP with JSON."""

from __future__ import annotations

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from fennelhill_core.platform import (
    Commit,
    CommitReply,
    HostEntry,
    Row,
    StoreFault,
    StoreUnavailableError,
)

TIMEOUT_S = 2.0
TOO_MANY_REQUESTS = 429
NOT_FOUND = 404


class _HttpService:
    """Sends HTTP requests and maps failures to `StoreFault`."""

    __slots__ = ("_address", "_client")

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = AsyncHTTPClient()

    async def fetch(self, path: str, body: bytes | None = None) -> bytes | None:
        method = "GET" if body is None else "POST"
        url = f"http://{self._address}{path}"
        try:
            response = await self._client.fetch(
                url,
                method=method,
                body=body,
                connect_timeout=TIMEOUT_S,
                request_timeout=TIMEOUT_S,
            )
        except HTTPClientError as error:
            if error.code == NOT_FOUND:
                return None
            if error.code == TOO_MANY_REQUESTS:
                raise StoreUnavailableError(StoreFault.RATE_LIMITED) from error
            raise StoreUnavailableError(StoreFault.NO_ANSWER) from error
        except OSError as error:
            raise StoreUnavailableError(StoreFault.DOWN) from error
        return response.body


class HttpTableService:
    """Client of the table service over HTTP.

    Parameters
    ----------
    address : str
        ``ip:port`` of the service.
    """

    __slots__ = ("_service",)

    def __init__(self, address: str) -> None:
        self._service = _HttpService(address)

    async def read(self, key: str) -> Row | None:
        """Read a row.

        Parameters
        ----------
        key : str
            Name of the row.

        Returns
        -------
        Row or None
            The row, or None if there is none.

        Raises
        ------
        StoreUnavailableError
            If the call failed.
        """
        body = await self._service.fetch(f"/rows/{key}")
        return None if body is None else _decode(body, Row)

    async def commit(self, commit: Commit) -> CommitReply:
        """Run a conditional transaction.

        Parameters
        ----------
        commit : Commit
            Versions that must hold, and rows to write.

        Returns
        -------
        CommitReply
            Whether the conditions held.

        Raises
        ------
        StoreUnavailableError
            If the call failed; after ``NO_ANSWER`` the transaction may have run.
        """
        body = await self._service.fetch("/commit", msgspec.json.encode(commit))
        return _decode(body or b"", CommitReply)


class HttpHostList:
    """Client of the platform's host list over HTTP.

    Parameters
    ----------
    address : str
        ``ip:port`` of the service.
    """

    __slots__ = ("_service",)

    def __init__(self, address: str) -> None:
        self._service = _HttpService(address)

    async def hosts(self) -> list[HostEntry]:
        """Fetch the list.

        Returns
        -------
        list of HostEntry
            The hosts; the list lags behind their state.

        Raises
        ------
        StoreUnavailableError
            If the call failed.
        """
        body = await self._service.fetch("/hosts")
        return _decode(body or b"[]", list[HostEntry])


def _decode(body: bytes, value_type: type) -> object:
    try:
        return msgspec.json.decode(body, type=value_type)
    except msgspec.DecodeError as error:
        raise StoreUnavailableError(StoreFault.NO_ANSWER) from error
