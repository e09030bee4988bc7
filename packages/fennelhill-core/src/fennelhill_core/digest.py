"""Digests of clients' keys, which stand for the keys wherever they are kept."""

from __future__ import annotations

import hashlib

KEY_DIGEST_BYTES = 16  # long enough that two keys never have the same digest


def key_digest(key: str) -> str:
    """Return the digest under which a client's key is held, compared and shown.

    Parameters
    ----------
    key : str
        The key.

    Returns
    -------
    str
        Hexadecimal digits, from which the key can't be recovered.
    """
    return hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()
