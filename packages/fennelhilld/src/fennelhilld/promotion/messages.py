"""Claims on the duty to replace a leader, and the calls that it needs."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec


class ClaimPhase(enum.Enum):
    """How far the holder of a claim has come."""

    CLAIMED = "claimed"
    DONE = "done"


class Claim(msgspec.Struct):
    """One host's claim to replace a group's leader.

    Parameters
    ----------
    holder : str
        The host.
    nonce : str
        Recognises the claim after a lost answer.
    target : str
        Who shall lead.
    phase : ClaimPhase
        How far the holder has come.
    planned : bool
        Whether the present leader still serves, so that writes are held.
    """

    holder: str
    nonce: str
    target: str
    phase: ClaimPhase = ClaimPhase.CLAIMED
    planned: bool = False


class ClaimRow(msgspec.Struct):
    """The claim on a group as the store holds it.

    Parameters
    ----------
    version : int
        Rises with each change of the store; it is the fencing token.
    claim : Claim or None
        Nothing where none was ever made.
    """

    version: int = 0
    claim: Claim | None = None


class ClaimStore(Protocol):
    """Where claims are agreed on."""

    async def read_claim(self, group: str) -> ClaimRow:
        """Read a claim; raises `StoreUnavailableError`."""

    async def swap_claim(
        self, group: str, expected_version: int, claim: Claim
    ) -> int | None:
        """Write if the version holds; returns the new version, or nothing.

        Raises `StoreUnavailableError`; with ``NO_ANSWER`` it may still be done.
        """


class PromotionResult(enum.Enum):
    """What the platform said to the order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    NO_ANSWER = "no_answer"


class PromotionOrders(Protocol):
    """The platform's call that makes a target lead."""

    async def promote(
        self, group: str, target_id: str, holder: str, fencing_token: int
    ) -> PromotionResult:
        """Order that a target leads its group."""


class LeaderView(msgspec.Struct):
    """What a host answers when another asks how it sees a leader.

    Parameters
    ----------
    leader : str
        Whom it takes for the leader; empty for none.
    term : int
        Newest term that it knows.
    sees : bool
        Whether the target that was asked about has just answered it as leader.
    host : str
        Who answers.
    """

    leader: str = ""
    term: int = 0
    sees: bool = False
    host: str = ""


class Survey(msgspec.Struct):
    """What came of asking other hosts.

    Parameters
    ----------
    asked : int
        Hosts that were asked.
    views : list of LeaderView
        Of those that answered.
    """

    asked: int = 0
    views: list[LeaderView] = []


class Peers(Protocol):
    """The other hosts."""

    async def survey(self, group: str, target_id: str) -> Survey:
        """Ask hosts of all zones about a target."""

    def names(self) -> list[str]:
        """Names of the other hosts."""
