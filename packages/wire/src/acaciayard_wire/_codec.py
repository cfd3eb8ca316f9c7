"""Encodes typed messages as msgpack arrays: `[code, field, field, ...]`."""

from __future__ import annotations

import typing
from collections.abc import Callable
from operator import attrgetter
from typing import Any, Final, TypeVar

import attrs
import msgpack
from attrs import frozen

from ._scanner import MessageScanner

if typing.TYPE_CHECKING:
    import cattrs

__all__ = ["MessageError", "MessageCodec"]

_Message = TypeVar("_Message", bound=attrs.AttrsInstance)

_PLAIN_TYPES: Final = (int, float, str, bytes, bool)
#: Types of an unpacked value that are accepted for each annotated type.
_ACCEPTED_TYPES: Final[dict[Any, tuple[type, ...]]] = {
    int: (int,),
    float: (float, int),
    str: (str,),
    bytes: (bytes,),
    bool: (bool,),
}


@frozen
class MessageError(Exception):
    """The received bytes are not a valid message; the connection they came on is closed."""

    #: Description of the error, for people.
    reason: str


class MessageCodec:
    """Encodes instances of registered `attrs` classes as bytes and decodes them.

    Each class is identified by a small number whose meaning never changes.  Fields are encoded in
    their order, so that a newer release can add fields with defaults at the end.  Decoded messages
    are checked by the types of the fields, by the validators of the class, and by its method
    `check_fields`, which raises `ValueError`.  Classes that are sent with every call define that
    method instead of validators, as validators also run for messages that are sent, and one by one.

    Example:

        codec = MessageCodec({1: Ping, 2: Pong})
        codec.decode(codec.encode(Ping(number=7)))      # Ping(number=7)
    """

    def __init__(self, classes: dict[int, type[Any]]) -> None:
        for cls in classes.values():
            _resolve(cls)
        self._classes = classes
        self._codes = {cls: code for code, cls in classes.items()}
        self._schemas = {cls: schema for cls in classes.values() if (schema := _plain_schema(cls))}
        self._packer = msgpack.Packer()
        self._scanner = MessageScanner()
        self._cached_converter: cattrs.Converter | None = None

    @property
    def _converter(self) -> cattrs.Converter:
        """Converter for classes that have no plain schema; created on first use.

        A daemon on the operators' platform uses none, and does not load the 15 modules of cattrs.
        """
        if self._cached_converter is None:
            import cattrs

            strategy = cattrs.UnstructureStrategy.AS_TUPLE
            self._cached_converter = cattrs.Converter(unstruct_strat=strategy)
        return self._cached_converter

    def with_messages(self, classes: dict[int, type[Any]]) -> MessageCodec:
        """A codec with further classes registered."""
        return MessageCodec({**self._classes, **classes})

    def encode(self, message: object) -> bytes:
        """Encode a message as self-delimiting bytes."""
        cls = type(message)
        schema = self._schemas.get(cls)
        fields = schema.fields(message) if schema else self._converter.unstructure(message)
        packed: bytes = self._packer.pack((self._codes[cls], *fields))
        return packed

    def decode(self, packed: bytes) -> object:
        """Decode one message; raises `MessageError` if it is invalid."""
        if self.scan(packed) != 0:
            raise MessageError("not msgpack: not one complete value")
        return self.decode_complete(packed)

    def decode_complete(self, packed: bytes) -> object:
        """Decode one message that is known to be complete; raises `MessageError`."""
        try:
            parts = msgpack.unpackb(packed)
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            raise MessageError(f"not msgpack: {error}") from error
        return self.structure(parts)

    def scan(self, data: bytes) -> int | MessageScanner:
        """Return how many bytes follow the first message in `data`.

        If it is incomplete, return the scanner that goes on with the rest.  Raises `MessageError`
        for bytes that are no message.
        """
        scanner = self._scanner
        try:
            rest = scanner.feed(data)
        except ValueError as error:
            self._scanner = MessageScanner()
            raise MessageError(f"not msgpack: {error}") from error
        if rest is None:
            self._scanner = MessageScanner()
            return scanner
        return rest

    def structure(self, parts: Any) -> object:
        """Build a message from its unpacked array; raises `MessageError` if it is invalid."""
        if not isinstance(parts, list) or not parts:
            raise MessageError("a message must be an array that starts with its code")
        code = parts[0]
        cls = self._classes.get(code) if isinstance(code, int) else None
        if cls is None:
            raise MessageError("unknown message code")
        return self._build(cls, parts[1:])

    def _build(self, cls: type[_Message], fields: list[Any]) -> _Message:
        if schema := self._schemas.get(cls):
            return schema.build(cls, fields)
        known = attrs.fields(cls)
        try:
            return self._converter.structure(tuple(fields[: len(known)]), cls)
        except Exception as error:  # cattrs raises exception groups and any error of a hook
            raise MessageError(f"{cls.__name__}: {error}") from error


@attrs.frozen
class _PlainSchema:
    """Schema of a class whose fields are plain values, lists of them, or tuples of such classes.

    It replaces the converter, which is slower: a member with two targets is encoded in 7 us instead
    of 17 us.
    """

    #: Name of the class.
    name: str
    #: Returns all fields of an instance as a tuple.
    read_fields: Callable[[Any], tuple[Any, ...]]
    #: Accepted types of each field.
    accepted: tuple[tuple[type, ...], ...]
    #: Item type of each field that is a list, `None` for other fields.
    items: tuple[type | None, ...]
    #: Fields that are tuples of classes, by index.
    parts: dict[int, _TupleSchema]
    #: Number of fields without a default.
    required: int
    #: Field types of a message that the fast path accepts; its lists must also be empty.
    common_types: list[type]
    #: Indexes of fields that are lists or nested tuples.
    containers: tuple[int, ...]
    #: Validates the fields of an instance and their relations; `None` if only the validators of
    #: the class do.
    check: Callable[[Any], None] | None

    def fields(self, message: object) -> tuple[Any, ...]:
        """The values to encode for `message`."""
        fields = self.read_fields(message)
        if not self.parts:
            return fields
        packed = list(fields)
        for index, part in self.parts.items():
            packed[index] = [part.schema.fields(item) for item in packed[index]]
        return tuple(packed)

    def build(self, cls: type[_Message], fields: list[Any]) -> _Message:
        """Create an instance of `cls` from unpacked `fields`; raises `MessageError`."""
        if not self._has_common_types(fields):
            self._check(fields)
            for index, part in self.parts.items():
                if index < len(fields):
                    fields[index] = part.build(fields[index])
        return self._checked(cls, fields)

    def _has_common_types(self, fields: list[Any]) -> bool:
        """Whether all fields are present and have the usual types, as in nearly all messages.

        Comparing them at once takes a tenth of the time of checking each field.
        """
        if self.parts or list(map(type, fields)) != self.common_types:
            return False
        return not any(fields[index] for index in self.containers)

    def _checked(self, cls: type[_Message], fields: list[Any]) -> _Message:
        """Create and validate an instance of `cls`; raises `MessageError`."""
        try:
            message = cls(*fields)
            if self.check is not None:
                self.check(message)
        except (ValueError, TypeError) as error:
            detail = error.args[0] if error.args else error
            raise MessageError(f"{cls.__name__}: {detail}") from error
        return message

    def _check(self, fields: list[Any]) -> None:
        """Raise `MessageError` unless `fields` match; drops fields that a later release added."""
        if len(fields) < self.required:
            raise MessageError(f"{self.name}: {len(fields)} fields, {self.required} needed")
        del fields[len(self.accepted) :]
        for value, accepted, item in zip(fields, self.accepted, self.items, strict=False):
            if not isinstance(value, accepted):
                raise MessageError(f"{self.name}: got {type(value).__name__}, expected {accepted}")
            if item is not None and not _all_instances(value, item):
                raise MessageError(f"{self.name}: a list holds an item that is not {item}")


@attrs.frozen
class _TupleSchema:
    """Schema of a field annotated as `tuple[Class, ...]`."""

    #: Class of the items.
    cls: type[Any]
    #: Schema of that class.
    schema: _PlainSchema

    def build(self, items: list[Any]) -> tuple[Any, ...]:
        """Create the tuple from unpacked `items`; raises `MessageError`."""
        if not _all_instances(items, list):
            raise MessageError(f"{self.schema.name}: a nested message must be an array of fields")
        return tuple(self.schema.build(self.cls, item) for item in items)


def _all_instances(values: Any, item: type) -> bool:
    return all(isinstance(value, item) for value in values)


def _resolve(cls: type) -> None:
    """Resolve annotations that are strings, in this class and in the classes of its fields."""
    attrs.resolve_types(cls)
    for attribute in attrs.fields(cls):
        for part in (attribute.type, *typing.get_args(attribute.type)):
            if isinstance(part, type) and attrs.has(part):
                _resolve(part)


def _plain_schema(cls: type) -> _PlainSchema | None:
    """The plain schema of a class, or `None` if it needs the converter."""
    hints = typing.get_type_hints(cls)
    accepted: list[tuple[type, ...]] = []
    items: list[type | None] = []
    parts: dict[int, _TupleSchema] = {}
    attributes = attrs.fields(cls)
    for index, attribute in enumerate(attributes):
        hint = hints[attribute.name]
        if hint in _PLAIN_TYPES:
            accepted.append(_ACCEPTED_TYPES[hint])
            items.append(None)
        elif typing.get_origin(hint) is list and typing.get_args(hint)[0] in _PLAIN_TYPES:
            accepted.append((list,))
            items.append(typing.get_args(hint)[0])
        elif part := _tuple_schema(hint):
            accepted.append((list,))
            items.append(None)
            parts[index] = part
        else:
            return None
    names = [attribute.name for attribute in attributes]
    return _PlainSchema(
        name=cls.__name__,
        read_fields=_field_reader(names),
        accepted=tuple(accepted),
        items=tuple(items),
        parts=parts,
        required=sum(a.default is attrs.NOTHING for a in attributes),
        common_types=[types[0] for types in accepted],
        containers=tuple(index for index, types in enumerate(accepted) if types == (list,)),
        check=getattr(cls, "check_fields", None),
    )


def _tuple_schema(hint: Any) -> _TupleSchema | None:
    """The schema of a field annotated as `tuple[Class, ...]`; `None` for other annotations."""
    if typing.get_origin(hint) is not tuple:
        return None
    cls, *rest = typing.get_args(hint)
    if rest != [...] or not attrs.has(cls):
        return None
    schema = _plain_schema(cls)
    return _TupleSchema(cls, schema) if schema else None


def _field_reader(names: list[str]) -> Callable[[Any], tuple[Any, ...]]:
    if not names:
        return lambda message: ()
    if len(names) == 1:
        return lambda message: (getattr(message, names[0]),)
    return attrgetter(*names)
