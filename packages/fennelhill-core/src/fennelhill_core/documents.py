"""JSON documents that other processes have written."""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

T = TypeVar("T")
# A larger whole number can be decoded, but dividing it may raise an error.
MAX_COUNT = 2**63 - 1
# A whole number that another process counts, such as terms and versions.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


def decode_json(text: bytes | msgspec.Raw, document_type: type[T]) -> T:
    """Decode a JSON document that may be malformed.

    Parameters
    ----------
    text : bytes or msgspec.Raw
        The document.
    document_type : type
        Type of the result.

    Returns
    -------
    object
        The decoded document.

    Raises
    ------
    msgspec.DecodeError
        If the document is not JSON, is nested too deeply, or is not of that type.
    """
    try:
        return msgspec.json.decode(text, type=document_type)
    except RecursionError as error:
        # Values of unknown fields are skipped by recursion, too.
        raise msgspec.DecodeError("the document is nested too deeply") from error
