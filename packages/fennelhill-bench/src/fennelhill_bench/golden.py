"""Samples of the messages and rows that two builds of the daemon may exchange."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import inspect


def sample(message_type: type) -> Any:
    """Return an instance of a message type with a value in every field.

    Parameters
    ----------
    message_type : type
        A class of msgspec.

    Returns
    -------
    object
        The instance, the same in every run.
    """
    return msgspec.convert(
        _document(inspect.type_info(message_type)),
        message_type,
        strict=False,
        dec_hook=lambda kind, value: kind(value),
    )


def _document(info: inspect.Type) -> Any:
    """Return a plain value of a type, different from the usual defaults."""
    if isinstance(info, inspect.StructType):
        fields = {field.encode_name: _document(field.type) for field in info.fields}
        if info.array_like:
            return list(fields.values())
        if info.tag is not None:
            fields[info.tag_field] = info.tag
        return fields
    if isinstance(info, inspect.UnionType):
        return _document(next(t for t in info.types if not _is_none(t)))
    if isinstance(info, inspect.ListType | inspect.VarTupleType | inspect.SetType):
        return [_document(info.item_type)]
    if isinstance(info, inspect.TupleType):
        return [_document(item) for item in info.item_types]
    if isinstance(info, inspect.DictType):
        return {_document(info.key_type): _document(info.value_type)}
    if isinstance(info, inspect.EnumType):
        return list(info.cls)[-1].value
    return _SCALARS[type(info)]


def _is_none(info: inspect.Type) -> bool:
    return isinstance(info, inspect.NoneType)


_SCALARS: dict[type, Any] = {
    inspect.BoolType: True,
    inspect.IntType: 7,
    inspect.FloatType: 2.5,
    inspect.StrType: "text",
    inspect.BytesType: "dGV4dA==",
    inspect.AnyType: "any",
    inspect.RawType: "raw",
    # Numbers of the product's own classes, such as versions of the store.
    inspect.CustomType: 7,
}
