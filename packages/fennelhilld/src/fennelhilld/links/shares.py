"""Organisations' shares of the load, as all hosts derive them alike."""

from __future__ import annotations

import heapq

from fennelhilld.catalog.state import Catalog, CatalogHolder

# Organisations for which links may be opened before they are asked for.
MAX_BUSIEST = 64


class OrganisationShares:
    """Shares by the configured limits, which all hosts know without messages.

    Answers organisations of very different size: limits are about the same multiple of
    the usual rates.  An organisation without a limit counts as small.

    Parameters
    ----------
    catalog : CatalogHolder
        Holds the configuration in force.
    """

    __slots__ = ("_busiest", "_catalog", "_total_per_s", "_version")

    def __init__(self, catalog: CatalogHolder) -> None:
        self._catalog = catalog
        self._version = 0
        self._total_per_s = 0.0
        self._busiest: list[str] = []

    def share(self, organisation: str) -> float:
        """Return an organisation's share of the load.

        Parameters
        ----------
        organisation : str
            Its name.

        Returns
        -------
        float
            From 0 to 1; 0 if it is unknown or has no limit.
        """
        current = self._update()
        if current is None or not current.organisations or not self._total_per_s:
            return 0.0
        known = current.organisations.get(organisation)
        return (known.operations_per_s or 0.0) / self._total_per_s if known else 0.0

    @property
    def busiest(self) -> list[str]:
        """The organisations with the largest shares, at most `MAX_BUSIEST`."""
        return self._busiest if self._update() is not None else []

    def _update(self) -> Catalog | None:
        current = self._catalog.current
        if current is not None and current.version != self._version:
            self._version = current.version
            rates = {
                name: organisation.operations_per_s or 0.0
                for name, organisation in (current.organisations or {}).items()
            }
            self._total_per_s = sum(rates.values())
            self._busiest = heapq.nsmallest(
                MAX_BUSIEST, rates, key=lambda name: (-rates[name], name)
            )
        return current
