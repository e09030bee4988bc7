"""Token buckets of an issuer, and what it gives to other zones."""

from __future__ import annotations

import math

from fennelhill_core.clock import MS_PER_S

from fennelhilld.quotas.limits import Limit, QuotaBounds

# An issuer keeps what it needs itself in this time, and asks others for as much.
NEED_MS = 200.0
# Time constant of the estimated demand.
DEMAND_MS = 1_000.0
# Pause after a round that brought too little: the others had no more.
TRANSFER_PAUSE_MS = 50.0
# A bucket that was not used for this long is dropped; only buckets in use take memory.
IDLE_MS = 600_000.0
# An answer with a longer hint would make callers of a small organisation wait in vain.
MAX_HINT_MS = 5_000.0
# Sums of fractions of a token fall short of a whole one by rounding.
ROUNDING = 1e-9


class TokenBucket:
    """Tokens of one organisation in one zone, minted at a fixed rate up to a capacity.

    Answers bursts of single statements: a token that is minted while none is asked for
    is kept up to the capacity.

    Parameters
    ----------
    limit : Limit
        Rate and capacity.
    initial : float
        Tokens at the start; no more are minted while they exceed the capacity.
    now_ms : float
        Time on the clock that counts suspended time.
    """

    __slots__ = ("_demand", "_updated_ms", "level", "limit", "transfer_after_ms")

    def __init__(self, limit: Limit, initial: float, now_ms: float) -> None:
        self.limit = limit
        self.level = initial
        self.transfer_after_ms = -math.inf
        self._updated_ms = now_ms
        # Tokens asked for, where older ones count less.
        self._demand = 0.0

    def update(self, now_ms: float) -> None:
        """Mint what has become due.

        Parameters
        ----------
        now_ms : float
            Time on the clock that counts suspended time.
        """
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        room = max(0.0, self.limit.capacity - self.level)
        self.level += min(room, self.limit.operations_per_s * elapsed_ms / MS_PER_S)
        self._demand *= math.exp(-elapsed_ms / DEMAND_MS)

    def set_limit(self, limit: Limit, now_ms: float) -> None:
        """Apply another limit from now on.

        Parameters
        ----------
        limit : Limit
            Rate and capacity; a lower capacity cuts the stock.
        now_ms : float
            Time on the clock that counts suspended time.
        """
        if limit == self.limit:
            return
        self.update(now_ms)
        if limit.capacity < self.limit.capacity:
            self.level = min(self.level, limit.capacity)
        self.limit = limit

    def take(self, count: int) -> int:
        """Take whole tokens for permits.

        Parameters
        ----------
        count : int
            Number asked for.

        Returns
        -------
        int
            Number taken.
        """
        taken = min(count, int(self.level + ROUNDING))
        self.level = max(0.0, self.level - taken)
        return taken

    def record_demand(self, count: int) -> None:
        """Count tokens that callers ask for.

        Parameters
        ----------
        count : int
            Number of tokens.
        """
        self._demand += count

    @property
    def need(self) -> float:
        """Tokens that this zone is expected to need in the next `NEED_MS`."""
        return self._demand * NEED_MS / DEMAND_MS

    @property
    def spare(self) -> float:
        """Tokens that this zone is not expected to need soon."""
        # A reserve of less than a permit serves nobody: of a small organisation, all
        # zones together would refuse while they hold several tokens in fractions.
        reserve = self.need if self.need >= 1.0 else 0.0
        return max(0.0, self.level - reserve)

    def idle_at(self, now_ms: float) -> bool:
        """Return whether the bucket was not used for `IDLE_MS`.

        Parameters
        ----------
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        bool
            True if it may be dropped.
        """
        return now_ms - self._updated_ms >= IDLE_MS

    def next_token_ms(self) -> float:
        """Return the expected time until a permit can be given, at most 5 s."""
        missing = max(0.0, 1.0 - self.level)
        if self.limit.operations_per_s <= 0:
            return MAX_HINT_MS
        return min(MAX_HINT_MS, missing / self.limit.operations_per_s * MS_PER_S)


class TokenIssuer:
    """Buckets of an issuer, by organisation.

    Answers uneven demand between zones: what one zone lacks is moved from those that
    have it to spare.  A number tells the rounds of asking apart; tokens are added once
    for each zone and number, and only within the time that they may travel.

    Parameters
    ----------
    bounds : QuotaBounds
        Times and initial tokens.
    """

    __slots__ = (
        "_asked",
        "_began_ms",
        "_bounds",
        "_next_number",
        "_removed_ms",
        "buckets",
    )

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self.buckets: dict[str, TokenBucket] = {}
        self._began_ms = math.inf
        # When an organisation was last removed, by name.
        self._removed_ms: dict[str, float] = {}
        # Organisation, tokens and time of asking, by number.
        self._asked: dict[int, tuple[str, float, float]] = {}
        self._next_number = 1

    def bucket(
        self, organisation: str, limit: Limit, zones: int, now_ms: float
    ) -> TokenBucket:
        """Return an organisation's bucket, minted up to now; create it on first use.

        A new one holds what it would hold if it had been there since this host became
        the issuer, or since the organisation was removed last.

        Parameters
        ----------
        organisation : str
            The organisation.
        limit : Limit
            This zone's part of its limit.
        zones : int
            Number of zones.
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        TokenBucket
            The bucket.
        """
        bucket = self.buckets.get(organisation)
        if bucket is None:
            since_ms = min(now_ms, self._removed_ms.get(organisation, self._began_ms))
            initial = self._bounds.initial_tokens(zones)
            bucket = self.buckets[organisation] = TokenBucket(limit, initial, since_ms)
        bucket.set_limit(limit, now_ms)
        bucket.update(now_ms)
        return bucket

    def begin(self, now_ms: float) -> None:
        """Record that this host becomes the issuer.

        Parameters
        ----------
        now_ms : float
            Time on the clock that counts suspended time.
        """
        self._began_ms = now_ms

    def drop(self, organisation: str, removed_ms: float | None = None) -> None:
        """Drop the bucket of an organisation that was removed or is idle.

        Parameters
        ----------
        organisation : str
            The organisation.
        removed_ms : float or None
            When it was removed, on the clock that counts suspended time; None if it
            is only idle.
        """
        self.buckets.pop(organisation, None)
        if removed_ms is not None:
            self._removed_ms[organisation] = removed_ms

    def clear(self) -> None:
        """Drop all buckets: this host is not the issuer any more."""
        self.buckets.clear()
        self._removed_ms.clear()
        self._asked.clear()

    def ask(
        self, organisation: str, waiting: int, spares: dict[str, float], now_ms: float
    ) -> dict[str, tuple[int, float]]:
        """Decide what to ask other zones for, if a bucket is empty.

        Parameters
        ----------
        organisation : str
            The organisation.
        waiting : int
            Permits that callers wait for.
        spares : dict
            Tokens that a zone said it had to spare, by zone; NaN if unknown.
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        dict
            Number and tokens to ask for, by zone; empty if it was in vain a moment
            ago.
        """
        bucket = self.buckets[organisation]
        missing = waiting - bucket.level
        if missing <= 0 or not spares or now_ms < bucket.transfer_after_ms:
            return {}
        # A pause unless the round brings enough; it also keeps rounds apart.
        bucket.transfer_after_ms = now_ms + TRANSFER_PAUSE_MS
        self._forget(now_ms)
        wanted = missing + bucket.need
        known = sum(spare for spare in spares.values() if spare > 0)
        asked = {}
        for zone, spare in spares.items():
            # Zones that have said that they lack tokens may have some now.
            share = wanted / len(spares)
            if known >= wanted and not math.isnan(spare):
                share = wanted * max(0.0, spare) / known
            if share > 0:
                asked[zone] = (self._next_number, share)
                self._asked[self._next_number] = (organisation, share, now_ms)
                self._next_number += 1
        return asked

    def give(self, bucket: TokenBucket, tokens: float) -> float:
        """Take tokens out of a bucket for another zone.

        Parameters
        ----------
        bucket : TokenBucket
            The bucket, minted up to now.
        tokens : float
            Tokens asked for.

        Returns
        -------
        float
            Tokens that have left the bucket.
        """
        given = max(0.0, min(tokens, bucket.spare))
        bucket.level -= given
        return given

    def receive(self, number: int, tokens: float, waiting: int, now_ms: float) -> bool:
        """Add tokens of another zone.

        Parameters
        ----------
        number : int
            The number under which they were asked for.
        tokens : float
            Number of tokens.
        waiting : int
            Permits that callers wait for.
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        bool
            False if they were late or came twice; they count as spent.
        """
        organisation, asked, asked_ms = self._asked.pop(number, ("", 0.0, -math.inf))
        bucket = self.buckets.get(organisation)
        if bucket is None or now_ms - asked_ms > self._bounds.transfer_ms:
            return False
        bucket.update(now_ms)
        # Beyond the capacity only what leaves the bucket at once: all zones together
        # must not hold more than the burst.
        most = max(bucket.level, bucket.limit.capacity, float(waiting))
        bucket.level = min(most, bucket.level + max(0.0, min(tokens, asked)))
        if bucket.level >= waiting:
            bucket.transfer_after_ms = -math.inf
        return True

    def _forget(self, now_ms: float) -> None:
        for number, (_, _, asked_ms) in list(self._asked.items()):
            if now_ms - asked_ms > self._bounds.transfer_ms:
                del self._asked[number]
