"""Typed messages as msgpack arrays: `[code, field, field, ...]`."""

from __future__ import annotations

import typing
from collections.abc import Callable
from operator import attrgetter
from typing import Any, Final, TypeVar

import attrs
import cattrs
import msgpack
from attrs import frozen

__all__ = ["MessageError", "MessageCodec"]

_Message = TypeVar("_Message", bound=attrs.AttrsInstance)

_PLAIN: Final = (int, float, str, bytes, bool)
#: Types that a field of the annotated type may hold after unpacking.
_ALLOWED: Final[dict[Any, tuple[type, ...]]] = {
    int: (int,),
    float: (float, int),
    str: (str,),
    bytes: (bytes,),
    bool: (bool,),
}


@frozen
class MessageError(Exception):
    """Bytes that are no message of this codec; the connection they came on is closed."""

    #: What was wrong with them.
    reason: str


class MessageCodec:
    """Turns registered `attrs` classes into bytes and back.

    A class is known by a small number that never changes its meaning; fields go in their order,
    so that a newer release adds fields at the end, with defaults.

    Example:

        codec = MessageCodec({1: Ping, 2: Pong})
        codec.decode(codec.encode(Ping(number=7)))      # Ping(number=7)
    """

    def __init__(self, classes: dict[int, type[Any]]) -> None:
        for cls in classes.values():
            _resolve(cls)
        self._classes = classes
        self._codes = {cls: code for code, cls in classes.items()}
        self._shapes = {cls: shape for cls in classes.values() if (shape := _plain_shape(cls))}
        self._packer = msgpack.Packer()
        self._converter = cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)

    def with_messages(self, classes: dict[int, type[Any]]) -> MessageCodec:
        """A codec that knows further classes."""
        return MessageCodec({**self._classes, **classes})

    def encode(self, message: object) -> bytes:
        """The message as bytes that delimit themselves."""
        cls = type(message)
        shape = self._shapes.get(cls)
        fields = shape.take(message) if shape else self._converter.unstructure(message)
        packed: bytes = self._packer.pack((self._codes[cls], *fields))
        return packed

    def decode(self, packed: bytes) -> object:
        """The message that `packed` holds; raises `MessageError`."""
        try:
            parts = msgpack.unpackb(packed)
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            raise MessageError(f"not msgpack: {error}") from error
        return self.structure(parts)

    def structure(self, parts: Any) -> object:
        """The message made of unpacked `parts`; raises `MessageError`."""
        if not isinstance(parts, list) or not parts:
            raise MessageError("a message is an array that starts with its code")
        code = parts[0]
        cls = self._classes.get(code) if isinstance(code, int) else None
        if cls is None:
            raise MessageError("unknown message code")
        return self._build(cls, parts[1:])

    def _build(self, cls: type[_Message], fields: list[Any]) -> _Message:
        if shape := self._shapes.get(cls):
            shape.check(fields)
            return _checked(cls, fields)
        known = attrs.fields(cls)
        try:
            return self._converter.structure(tuple(fields[: len(known)]), cls)
        except Exception as error:  # cattrs raises groups and whatever a field's hook raises
            raise MessageError(f"{cls.__name__}: {error}") from error


@attrs.frozen
class _PlainShape:
    """A class whose fields are plain values or lists of them: no converter is needed."""

    #: Name of the class.
    name: str
    #: Reads all fields of an instance as a tuple.
    take: Callable[[Any], tuple[Any, ...]]
    #: What each field may hold.
    allowed: tuple[tuple[type, ...], ...]
    #: What the items of each field may be, where it is a list.
    items: tuple[type | None, ...]
    #: How many fields have no default.
    required: int

    def check(self, fields: list[Any]) -> None:
        """Raise `MessageError` unless `fields` fit; drops those of a later release."""
        if len(fields) < self.required:
            raise MessageError(f"{self.name}: {len(fields)} fields, {self.required} needed")
        del fields[len(self.allowed) :]
        for value, allowed, item in zip(fields, self.allowed, self.items, strict=False):
            if not isinstance(value, allowed):
                raise MessageError(f"{self.name}: {type(value).__name__} where {allowed} is due")
            if item is not None and not _holds_only(value, item):
                raise MessageError(f"{self.name}: a list holds something else than {item}")


def _holds_only(values: Any, item: type) -> bool:
    return all(isinstance(value, item) for value in values)


def _checked(cls: type[_Message], fields: list[Any]) -> _Message:
    """An instance whose validators have passed; raises `MessageError`."""
    try:
        return cls(*fields)
    except (ValueError, TypeError) as error:
        raise MessageError(f"{cls.__name__}: {error.args[0] if error.args else error}") from error


def _resolve(cls: type) -> None:
    """Replace annotations that are text by types, here and in the classes of fields."""
    attrs.resolve_types(cls)
    for attribute in attrs.fields(cls):
        for part in (attribute.type, *typing.get_args(attribute.type)):
            if isinstance(part, type) and attrs.has(part):
                _resolve(part)


def _plain_shape(cls: type) -> _PlainShape | None:
    """The shape of a plain class, or `None` where a converter is needed."""
    hints = typing.get_type_hints(cls)
    allowed: list[tuple[type, ...]] = []
    items: list[type | None] = []
    attributes = attrs.fields(cls)
    for attribute in attributes:
        hint = hints[attribute.name]
        if hint in _PLAIN:
            allowed.append(_ALLOWED[hint])
            items.append(None)
        elif typing.get_origin(hint) is list and typing.get_args(hint)[0] in _PLAIN:
            allowed.append((list,))
            items.append(typing.get_args(hint)[0])
        else:
            return None
    names = [attribute.name for attribute in attributes]
    return _PlainShape(
        name=cls.__name__,
        take=_taker(names),
        allowed=tuple(allowed),
        items=tuple(items),
        required=sum(a.default is attrs.NOTHING for a in attributes),
    )


def _taker(names: list[str]) -> Callable[[Any], tuple[Any, ...]]:
    if not names:
        return lambda message: ()
    if len(names) == 1:
        return lambda message: (getattr(message, names[0]),)
    return attrgetter(*names)
