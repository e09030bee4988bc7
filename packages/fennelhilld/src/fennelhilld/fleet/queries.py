"""Queries to the other hosts of a fleet, as JSON over HTTP."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from urllib.parse import urlencode

from fennelhill_core.clock import MS_PER_S
from fennelhill_core.documents import decode_json
from fennelhill_core.sockets import http_client
from fennelhill_core.tasks import Tasks
from loguru import logger
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.iostream import StreamClosedError

from fennelhilld.catalog.intake import PeerAnswer
from fennelhilld.gateway import SessionGateway
from fennelhilld.promotion.messages import LeaderView, Survey
from fennelhilld.promotion.survey import collect_views

# The queried host probes the target itself, which takes up to 300 ms.
QUERY_TIMEOUT_MS = 450.0
# Hosts that are asked for a newer catalog at a time, of different zones if there are
# as many.
CATALOG_HOSTS = 3
# A document with 10,000 organisations has about 1.5 MB, which takes 2.4 s over a link
# of 5 Mbit/s.
CATALOG_TIMEOUT_MS = 4_000.0
# Time since the answering host heard from the store or from another host.
CATALOG_AGE_HEADER = "Fennelhill-Catalog-Age-Ms"
# Without a target to probe the queried host answers at once.
PRESENCE_TIMEOUT_MS = 250.0


class HttpPeers:
    """Queries the other hosts that the store lists.

    Parameters
    ----------
    gateway : SessionGateway
        The session gateway of this host; its roster has their addresses.
    """

    __slots__ = ("_client", "_gateway", "_random", "_tasks")

    def __init__(self, gateway: SessionGateway) -> None:
        self._gateway = gateway
        self._client = http_client()
        self._random = random.SystemRandom()
        self._tasks = Tasks()

    def names(self) -> list[str]:
        """Return the names of the other hosts.

        Returns
        -------
        list of str
            In no particular order.
        """
        return list(self._gateway.roster.addresses)

    async def survey(self, group: str, target_id: str) -> Survey:
        """Query hosts of all zones for their views of a leader.

        Parameters
        ----------
        group : str
            The group; empty if only the number of answers matters.
        target_id : str
            The leader; empty if it is unknown.

        Returns
        -------
        Survey
            How many hosts were queried, and the views of those that answered in time.
        """
        roster = self._gateway.roster
        # The others may be gone, and left their rows behind.
        addresses = roster.sample(self._random, names=self._gateway.electorate.members)
        queries = [
            self._tasks.spawn(self._query_host(name, address, group, target_id))
            for name, address in addresses.items()
        ]
        return await collect_views(queries, group, target_id)

    async def _query_host(
        self, name: str, address: str, group: str, target_id: str
    ) -> LeaderView | None:
        view = await self._query(address, group, target_id)
        self._gateway.roster.record_answer(name, view is not None)
        return view

    async def ask_catalogs(
        self, version: int, on_answer: Callable[[PeerAnswer], None]
    ) -> None:
        """Ask hosts of different zones for documents of the catalog.

        Parameters
        ----------
        version : int
            Version that this host has.
        on_answer : callable
            Called with each answer as it arrives.
        """
        addresses = self._gateway.roster.sample(self._random, CATALOG_HOSTS)
        await asyncio.gather(
            *(
                self._ask_catalog(address, version, on_answer)
                for address in addresses.values()
            )
        )

    async def _ask_catalog(
        self, address: str, version: int, on_answer: Callable[[PeerAnswer], None]
    ) -> None:
        timeout_s = CATALOG_TIMEOUT_MS / MS_PER_S
        request = HTTPRequest(
            f"http://{address}/catalog?after={version}",
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
        )
        try:
            response = await self._client.fetch(request)
            age_ms = float(response.headers.get(CATALOG_AGE_HEADER, "inf"))
        except (OSError, HTTPClientError, StreamClosedError, ValueError) as error:
            logger.bind(address=address, reason=str(error)).info("neighbour.no_answer")
            return
        # A host that does not state an age confirms nothing.
        stated = math.isfinite(age_ms) and age_ms >= 0
        on_answer(PeerAnswer(age_ms if stated else math.inf, response.body))

    async def _query(
        self, address: str, group: str, target_id: str
    ) -> LeaderView | None:
        limit_ms = QUERY_TIMEOUT_MS if target_id else PRESENCE_TIMEOUT_MS
        timeout_s = limit_ms / MS_PER_S
        query = urlencode({"group": group, "target": target_id})
        request = HTTPRequest(
            f"http://{address}/leader?{query}",
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
        )
        try:
            response = await self._client.fetch(request)
            return decode_json(response.body, LeaderView)
        except (
            OSError,
            HTTPClientError,
            StreamClosedError,
            ValueError,
        ) as error:
            logger.bind(address=address, reason=str(error)).info("neighbour.no_answer")
            return None
