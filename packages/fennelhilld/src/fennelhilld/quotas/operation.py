"""The permit of one operation, from before its link is used until it is sent."""

from __future__ import annotations

import math
from typing import Protocol

import msgspec
from fennelhill_core.codes import Code

from fennelhilld.links.lease import Lease


class QuotaRefusal(msgspec.Struct, frozen=True):
    """Why an operation gets no permit; it has not run.

    Parameters
    ----------
    code : Code
        ``QUOTA_EXCEEDED`` or ``QUOTA_UNAVAILABLE``.
    retry_ms : float
        Expected time until a permit is available, in milliseconds.
    """

    code: Code
    retry_ms: float


class OverQuotaError(Exception):
    """An operation gets no permit; nothing was sent for it.

    Parameters
    ----------
    refusal : QuotaRefusal
        Why.
    """

    def __init__(self, refusal: QuotaRefusal) -> None:
        super().__init__(refusal.code.name)
        self.refusal = refusal


class PermitSource(Protocol):
    """What an operation gets its permit from."""

    def required(self, organisation: str) -> bool:
        """Return whether an organisation's operations need permits."""
        ...

    async def acquire(self, organisation: str) -> float | QuotaRefusal:
        """Return until when a new permit is valid, or why there is none."""
        ...

    def give_back(self, organisation: str, expires_ms: float) -> None:
        """Take back a permit under which nothing was sent."""
        ...

    def boottime_ms(self) -> float:
        """Return the time on the clock that counts suspended time."""
        ...


class NoQuotas:
    """Source of permits where no organisation has a limit."""

    def required(self, organisation: str) -> bool:
        """Return False."""
        return False

    async def acquire(self, organisation: str) -> float | QuotaRefusal:
        """Return a permit without an end."""
        return math.inf

    def give_back(self, organisation: str, expires_ms: float) -> None:
        """Do nothing."""

    def boottime_ms(self) -> float:
        """Return 0; permits without an end never expire."""
        return 0.0


class OperationPermit:
    """The permit of a single statement, or of a transaction's beginning.

    A permit that expires while the operation waits for a link is replaced before
    anything is sent.  A statement that is sent again after it was refused without
    effect uses the same permit while that is valid.

    Parameters
    ----------
    source : PermitSource
        Gives permits.
    organisation : str
        Organisation that the operation is run for; empty if none.
    """

    __slots__ = ("_expires_ms", "_organisation", "_sent", "_sent_before", "_source")

    def __init__(self, source: PermitSource, organisation: str) -> None:
        self._source = source
        self._organisation = organisation
        self._expires_ms = -math.inf
        self._sent = False
        self._sent_before = False

    @property
    def send_by_ms(self) -> float:
        """Until when something may be sent, on the clock that counts suspended time.

        Infinite if the operation needs no permit.
        """
        return self._expires_ms

    @property
    def valid(self) -> bool:
        """Whether something may be sent now."""
        return self._source.boottime_ms() < self._expires_ms

    async def ensure(self, lease: Lease | None = None) -> None:
        """Get a permit unless there is one that is valid, or none is required.

        Parameters
        ----------
        lease : Lease or None
            A link that waits for the permit; released if there is none.

        Raises
        ------
        OverQuotaError
            If there is no permit.
        """
        if self.valid:
            return
        if not self._source.required(self._organisation):
            self._expires_ms = math.inf
            return
        try:
            permit = await self._source.acquire(self._organisation)
        except BaseException:
            if lease is not None:
                lease.release()
            raise
        if isinstance(permit, QuotaRefusal):
            if lease is not None:
                lease.release()
            raise OverQuotaError(permit)
        self._expires_ms, self._sent, self._sent_before = permit, False, False

    def use(self) -> None:
        """Record that something is sent under the permit."""
        self._sent_before, self._sent = self._sent, True

    def unused(self) -> None:
        """Record that the batch for which `use` was called was not sent."""
        self._sent = self._sent_before

    def close(self) -> None:
        """Give a permit back under which nothing was sent."""
        expires_ms, self._expires_ms = self._expires_ms, -math.inf
        if not self._sent and not math.isinf(expires_ms):
            self._source.give_back(self._organisation, expires_ms)
