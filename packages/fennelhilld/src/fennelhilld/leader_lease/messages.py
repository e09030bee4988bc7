"""Messages between hosts about leases and claims, sent as datagrams."""

from __future__ import annotations

import enum

import msgspec
from fennelhill_core.platform import StoreVersion
from fennelhill_core.tokens import Position

from fennelhilld.electorate.messages import KnownElectorate
from fennelhilld.promotion.messages import Claim


class ProofSource(enum.Enum):
    """How the queried host gets the proof that it answers with."""

    # It renews its own lease first if the lease is not fresh.
    RENEWED = "renewed"
    # It reads the store itself, without asking other hosts.
    STORE = "store"
    # It only confirms which claims it knows.
    CONFIRMATION = "confirmation"


class GroupClaim(msgspec.Struct, frozen=True):
    """A claim row with the group that it belongs to."""

    group: str
    version: StoreVersion
    claim: Claim | None

    def __post_init__(self) -> None:
        version = StoreVersion(self.version)
        msgspec.structs.force_setattr(self, "version", version)


class LeaseQuery(msgspec.Struct, tag="lease_query", frozen=True):
    """Asks a host for a proof of which claims are in force.

    Parameters
    ----------
    source : ProofSource
        How the host gets the proof.
    claims_version : StoreVersion
        The asking host knows every claim up to this version of the store.
    members_version : StoreVersion
        Version of the newest change to the list of hosts that the asking host knows.
    era : int
        Newest era of the store that the asking host knows.
    electorate_version : StoreVersion or None
        Version of the electorate in which the asking host counts; None for older
        builds, which count the listed hosts.
    """

    source: ProofSource
    claims_version: StoreVersion
    members_version: StoreVersion
    era: int = 0
    electorate_version: StoreVersion | None = None


class LeaseAnswer(msgspec.Struct, tag="lease_answer", frozen=True):
    """Answers a `LeaseQuery`.

    Parameters
    ----------
    granted : bool
        Whether the host has a proof, or confirms.
    age_ms : float
        Age of the proof when the answer was sent; 0 for a confirmation.
    claims_version : StoreVersion
        The host knows every claim up to this version of the store.
    claims : list of GroupClaim
        The claims that it knows and the asking host may not, oldest first.
    complete : bool
        Whether those are all; if not, the proof must not be used.
    era : int
        Newest era of the store that the host knows.
    fleet_known : bool
        Whether the host has read the store in full since its start; it confirms
        nothing before.
    unread_ms : float
        Time since the host knew what the store has.
    electorate : KnownElectorate or None
        The newest row of the electorate that the host knows, if the asking host has an
        older one.
    """

    granted: bool
    age_ms: float = 0.0
    claims_version: StoreVersion = StoreVersion()
    claims: list[GroupClaim] = []
    complete: bool = True
    era: int = 0
    fleet_known: bool = True
    unread_ms: float = 0.0
    electorate: KnownElectorate | None = None


class FenceOrder(msgspec.Struct, tag="fence_order", frozen=True):
    """Tells a host about a claim, and asks it to give its lease on the group up.

    Parameters
    ----------
    row : GroupClaim
        The claim.
    era : int
        Newest era of the store that the sender knows.
    electorate_version : StoreVersion or None
        Version of the electorate in which the sender counts; None for older builds,
        which count the listed hosts, and for news of a finished claim.
    """

    row: GroupClaim
    era: int = 0
    electorate_version: StoreVersion | None = None


class FenceAnswer(msgspec.Struct, tag="fence_answer", frozen=True):
    """Says whether the host has given its lease on the group up.

    Parameters
    ----------
    given_up : bool
        Whether it has.
    era : int
        Newest era of the store that the host knows.
    """

    given_up: bool
    era: int = 0


class DemotionOrder(msgspec.Struct, tag="demotion_order", frozen=True):
    """Asks a host to demote a leader that the sender can't reach.

    Parameters
    ----------
    row : GroupClaim
        The claim under which the leader is replaced.
    target_id : str
        The leader.
    era : int
        Newest era of the store that the sender knows.
    """

    row: GroupClaim
    target_id: str
    era: int = 0


class DemotionAnswer(msgspec.Struct, tag="demotion_answer", frozen=True):
    """Says whether the target has confirmed that it does not lead."""

    demoted: bool


class SampleQuery(msgspec.Struct, tag="sample_query", frozen=True):
    """Asks an owner of a group's leader for the leader's log position."""

    group: str


class SampleAnswer(msgspec.Struct, tag="sample_answer", frozen=True):
    """The newest position that the host has seen at the leader under its lease.

    Parameters
    ----------
    position : Position or None
        The position; None if the host has seen none lately.
    age_ms : float
        Time since the command was sent that the leader answered with it.
    """

    position: Position | None = None
    age_ms: float = 0.0


class ZoneNotice(msgspec.Struct, tag="zone_notice", frozen=True):
    """Tells a host that a zone has stopped answering the sender.

    Parameters
    ----------
    zone : str
        The zone.
    hops : int
        How many times the notice may still be sent.
    """

    zone: str
    hops: int


class ZoneNoticeAnswer(msgspec.Struct, tag="zone_notice_answer", frozen=True):
    """Says that a `ZoneNotice` has arrived."""


LeaderQuery = LeaseQuery | FenceOrder | DemotionOrder | SampleQuery | ZoneNotice
LeaderAnswer = (
    LeaseAnswer | FenceAnswer | DemotionAnswer | SampleAnswer | ZoneNoticeAnswer
)
