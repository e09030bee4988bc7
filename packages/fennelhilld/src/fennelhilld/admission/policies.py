"""Selects the load policies by their registry names."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from fennelhilld.admission.accounting import OrganisationLoad
from fennelhilld.admission.order import QUEUE_POLICIES, QueuePolicy
from fennelhilld.admission.refusal import REFUSAL_POLICIES, RefusalPolicy
from fennelhilld.admission.window import WINDOW_POLICIES, WindowPolicy
from fennelhilld.placement.policies import PLACEMENT_POLICIES, PlacementPolicy


class PolicyNames(msgspec.Struct, frozen=True):
    """Registry names of the load policies.

    Parameters
    ----------
    queue : str
        Which queued request gets the next link.
    refusal : str
        Which requests are refused instead of queued.
    placement : str
        Which target serves a read.
    window : str
        How many requests a target gets from this host at the same time.
    """

    queue: str = "fair_shares"
    refusal: str = "expected_wait"
    placement: str = "expected_time"
    window: str = "gradient"


class LoadPolicies:
    """Load policies of a host; each pool has its own queue and window policy.

    Parameters
    ----------
    names : PolicyNames
        Registry names of the policies.
    weights : mapping
        Weight by organisation, above 0; 1 for those not listed.
    """

    __slots__ = ("_names", "_weights", "organisation_load", "placement", "refusal")

    def __init__(self, names: PolicyNames, weights: Mapping[str, float]) -> None:
        self._names = names
        self._weights = weights
        self.organisation_load = OrganisationLoad()
        self.refusal: RefusalPolicy = REFUSAL_POLICIES.get(names.refusal)()
        self.placement: PlacementPolicy = PLACEMENT_POLICIES.get(names.placement)()

    @classmethod
    def from_config(
        cls,
        names: PolicyNames | None = None,
        weights: Mapping[str, float] | None = None,
    ) -> LoadPolicies:
        """Create the policies with the given names.

        Parameters
        ----------
        names : PolicyNames or None
            Registry names; None for the defaults.
        weights : mapping or None
            Weight by organisation, above 0; 1 for those not listed.

        Returns
        -------
        LoadPolicies
            The policies.
        """
        return cls(names or PolicyNames(), weights or {})

    def new_queue_policy(self) -> QueuePolicy:
        """Create the queue policy of a pool.

        Returns
        -------
        QueuePolicy
            The policy.
        """
        return QUEUE_POLICIES.get(self._names.queue).from_config(self._weights)

    def new_window_policy(self) -> WindowPolicy:
        """Create the window policy of a pool.

        Returns
        -------
        WindowPolicy
            The policy.
        """
        return WINDOW_POLICIES.get(self._names.window)()
