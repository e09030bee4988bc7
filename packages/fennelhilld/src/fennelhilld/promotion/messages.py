"""Claims to replace a leader, and the interfaces that a replacement uses."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec
from fennelhill_core.documents import Count
from fennelhill_core.platform import StoreVersion


class ClaimPhase(enum.Enum):
    """State of a replacement: in progress, finished, or ended with no change."""

    CLAIMED = "claimed"
    DONE = "done"
    ABANDONED = "abandoned"


class Claim(msgspec.Struct):
    """One host's claim to replace a group's leader.

    Parameters
    ----------
    holder : str
        The host that made the claim.
    nonce : str
        Identifies the claim in the store if the answer to its write was lost.
    target : str
        The target to promote.
    phase : ClaimPhase
        Whether the holder has finished the replacement.
    planned : bool
        Whether the current leader is leaving but still serves.  A host then gives its
        lease up only when its writes in flight have been answered.
    previous_leader : str
        The leader that is being replaced; empty if it is unknown.
    previous_term : int
        The newest term known when the claim was made.
    previous_leader_term : int
        Term of the previous leader; 0 if it is unknown.
    term : int
        Term of the new leader; 0 until the replacement is finished.
    released : bool
        Whether the holder could not finish an open claim, so that any other host may
        take it over at once.
    era : int
        Era of the store in which the claim was written, as far as its writer knew.
    """

    holder: str
    nonce: str
    target: str
    phase: ClaimPhase = ClaimPhase.CLAIMED
    planned: bool = False
    previous_leader: str = ""
    previous_term: Count = 0
    previous_leader_term: Count = 0
    term: Count = 0
    released: bool = False
    era: Count = 0


class ClaimRow(msgspec.Struct):
    """A group's row in the store, with the newest claim on the group.

    Parameters
    ----------
    version : StoreVersion
        The store's version at the last write of the row, in the era that the claim
        names, which is the fencing token; 0 if there is no row.  It rises with each
        change of the store.  A row that the store restored from a copy has the
        version that it had before.
    claim : Claim or None
        None if the group has never been claimed, or the row can't be decoded.
    """

    version: StoreVersion = StoreVersion()
    claim: Claim | None = None

    def __post_init__(self) -> None:
        self.version = StoreVersion(self.version)


class ClaimStore(Protocol):
    """The store of claims; of several concurrent claims at most one succeeds."""

    async def refresh(self) -> None:
        """Apply all claims and hosts in the store; raises `StoreUnavailableError`."""

    async def read_claim(self, group: str) -> ClaimRow:
        """Return a group's claim row; raises `StoreUnavailableError`."""

    async def swap_claim(
        self, group: str, expected_version: StoreVersion, claim: Claim
    ) -> StoreVersion | None:
        """Write a claim if the row's version is the expected one.

        Returns the new version in the era of the answer, or None if the row has
        another version.  Raises `StoreUnavailableError`; with ``NO_ANSWER`` the claim
        may have been written.
        """


class PromotionResult(enum.Enum):
    """The platform's answer to an order to promote a target."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    NO_ANSWER = "no_answer"
    NOT_SENT = "not_sent"


class PromotionOrders(Protocol):
    """The platform's interface for promoting a target."""

    async def promote(
        self,
        group: str,
        target_id: str,
        holder: str,
        fencing_token: int,
        may_send: Callable[[], bool],
    ) -> PromotionResult:
        """Order the platform to make a target the leader; return its answer.

        `may_send` is called right before the order is written to an open connection;
        if it returns False nothing is sent.
        """


class LeaderView(msgspec.Struct):
    """A host's view of a group's leader, sent to a host that asks for it.

    Parameters
    ----------
    leader : str
        The leader as far as the host knows; empty if it knows none.
    term : int
        Newest term that the host knows.
    sees : bool
        Whether the target named in the query has just answered this host's probe,
        either as the leader or as busy.
    host : str
        The host that answers.
    informed : bool
        Whether the host has read its hosts, claims and targets since its start.  If
        not, it can't tell whether the leader is lost; it only shows that it runs.
    """

    leader: str = ""
    term: int = 0
    sees: bool = False
    host: str = ""
    informed: bool = True


class Survey(msgspec.Struct):
    """The answers of other hosts to a query about a leader.

    Parameters
    ----------
    queried : int
        Number of hosts that were queried.
    views : list of LeaderView
        Views of the hosts that answered.
    """

    queried: int = 0
    views: list[LeaderView] = []


class Peers(Protocol):
    """The other hosts."""

    async def survey(self, group: str, target_id: str) -> Survey:
        """Query hosts in all zones for their views of a leader."""

    def names(self) -> list[str]:
        """Return the names of the other hosts."""
