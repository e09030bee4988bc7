"""Organisations of a new version of the catalog, from entries that may be invalid."""

from __future__ import annotations

import math
from typing import Any

import msgspec
from fennelhill_core.digest import key_digest

from fennelhilld.catalog.state import Organisation

MAX_NAME_CHARS = 200
MAX_QUOTED_CHARS = 40  # of a name, in a log line


class OrganisationEntry(msgspec.Struct):
    """What a document states about an organisation, with values of any type.

    Parameters
    ----------
    name : object
        Its name.
    keys : object
        List of its keys; they are not kept longer than it takes to digest them.
    operations_per_s : object
        Operations in a second; ``msgspec.UNSET`` if the document states none.
    burst : object
        Operations beyond that rate at once.
    """

    name: Any = None
    keys: Any = ()
    operations_per_s: Any = msgspec.UNSET
    burst: Any = 0.0


class OrganisationTable:
    """Collects the valid parts of the entries of one version.

    A defect in one entry affects no other.  The number of entries is bounded only by
    the document, so callers may pause between entries.

    Parameters
    ----------
    previous : dict or None
        `Organisation` by name in the version before, whose limits remain in force where
        the new ones are invalid.
    """

    __slots__ = ("_previous", "defects", "keys", "organisations")

    def __init__(self, previous: dict[str, Organisation] | None) -> None:
        self._previous = previous or {}
        self.organisations: dict[str, Organisation] = {}
        # Name of the organisation by the digest of a key.
        self.keys: dict[str, str] = {}
        # What was wrong, in the order of the document.
        self.defects: list[str] = []

    def add(self, entry: OrganisationEntry | None) -> None:
        """Add an entry, or record why it can't be used.

        Parameters
        ----------
        entry : OrganisationEntry or None
            The entry; None if it could not be decoded at all.
        """
        if entry is None:
            self.defects.append("an entry is not an organisation; it is ignored")
            return
        name = entry.name
        if not _is_name(name):
            self.defects.append("an entry has no valid name; it is ignored")
            return
        if name in self.organisations:
            self._record(name, "is listed twice; the first entry counts")
            return
        digests = self._digest_keys(name, entry.keys)
        operations_per_s, burst = self._limit(name, entry)
        self.organisations[name] = Organisation(name, digests, operations_per_s, burst)
        for digest in digests:
            self._assign(digest, name)

    def _digest_keys(self, name: str, keys: Any) -> tuple[str, ...]:
        # Keys of the previous version never replace unreadable ones, since they may
        # have been withdrawn.
        if not isinstance(keys, list | tuple):
            self._record(name, "its keys are not a list; nobody can call as it")
            return ()
        valid = [key for key in keys if _is_key(key)]
        if len(valid) < len(keys):
            self._record(name, "some of its keys are not texts, or are empty")
        return tuple(dict.fromkeys(map(key_digest, valid)))

    def _limit(self, name: str, entry: OrganisationEntry) -> tuple[float | None, float]:
        problem = _limit_problem(entry)
        if not problem:
            if entry.operations_per_s is msgspec.UNSET:
                return None, float(entry.burst)
            return float(entry.operations_per_s), float(entry.burst)
        previous = self._previous.get(name)
        if previous is None:
            self._record(name, f"{problem}; it is unlimited")
            return None, 0.0
        self._record(name, f"{problem}; the previous limit remains")
        return previous.operations_per_s, previous.burst

    def _assign(self, digest: str, name: str) -> None:
        other = self.keys.setdefault(digest, name)
        if other == name:
            return
        first, second = sorted((other, name))
        self.keys[digest] = first
        loser = self.organisations[second]
        digests = tuple(d for d in loser.key_digests if d != digest)
        self.organisations[second] = msgspec.structs.replace(loser, key_digests=digests)
        self._record(second, f"key {digest} belongs to {first[:MAX_QUOTED_CHARS]!r}")

    def _record(self, name: str, problem: str) -> None:
        self.defects.append(f"organisation {name[:MAX_QUOTED_CHARS]!r}: {problem}")


def _is_key(key: Any) -> bool:
    """Return whether a client can send this key: a text without lone surrogates."""
    if not isinstance(key, str) or not key:
        return False
    try:
        key.encode()
    except UnicodeEncodeError:
        return False
    return True


def _is_name(name: Any) -> bool:
    """Return whether targets can be told this name, in one field of a line."""
    return (
        isinstance(name, str)
        and 0 < len(name) <= MAX_NAME_CHARS
        and name.isprintable()
        and not any(character.isspace() for character in name)
    )


def _limit_problem(entry: OrganisationEntry) -> str:
    if entry.operations_per_s is not msgspec.UNSET:
        if not _is_number(entry.operations_per_s):
            return "its rate is not a number"
        if entry.operations_per_s <= 0:
            return "its rate is not above 0"
    if not _is_number(entry.burst):
        return "its burst is not a number"
    return "its burst is below 0" if entry.burst < 0 else ""


def _is_number(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        return math.isfinite(float(value))
    except OverflowError:
        return False
