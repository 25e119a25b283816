"""Conversion of mappings, as read from YAML, to typed ``NamedTuple``s.

Supported field types: nested ``NamedTuple``s, ``dict[str, X]``,
``tuple[X, ...]``, ``X | None``, ``StrEnum``, ``str``, ``int``, ``float``,
``bool``, ``NewType``s of these and ``Any``. All problems are reported, not
only the first one.
"""

from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from itertools import chain
from types import NoneType, UnionType
from typing import Any, NamedTuple, TypeVar, Union, get_args, get_origin, get_type_hints

T = TypeVar("T")

_TYPE_NAMES = {
    str: "a string",
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    NoneType: "nothing (null)",
}


class MappingProblem(NamedTuple):
    """An invalid value: its key path, the problem and what is allowed."""

    path: tuple[str, ...]
    problem: str
    allowed: str


class _Conversion(NamedTuple):
    """The converted value, or ``None`` and the ``problems`` found."""

    value: Any
    problems: tuple[MappingProblem, ...] = ()


class _Scalar(NamedTuple):
    """The accepted types of an input value, and its conversion."""

    accepted: tuple[type[Any], ...]
    convert: Callable[[Any], Any]


_SCALARS = {
    str: _Scalar((str,), str),
    bool: _Scalar((bool,), bool),
    int: _Scalar((int,), int),
    float: _Scalar((float, int), float),
    NoneType: _Scalar((NoneType,), lambda value: value),
}


def convert_mapping(value: object, kind: type[T]) -> T | tuple[MappingProblem, ...]:
    """Return ``value`` as a ``kind``, or all problems found in it.

    Raises ``TypeError`` if ``kind`` itself has a field type that is not
    supported.
    """
    converted = _convert(value, kind, ())
    if converted.problems:
        return converted.problems
    result: T = converted.value
    return result


def _convert(value: object, kind: Any, path: tuple[str, ...]) -> _Conversion:
    kind = _unwrap_new_type(kind)
    if kind is Any or kind is object:
        return _Conversion(value)
    if kind in _SCALARS:
        return _convert_scalar(value, kind, path)
    if _is_named_tuple(kind):
        return _convert_fields(value, kind, path)
    if isinstance(kind, type) and issubclass(kind, StrEnum):
        return _convert_enum(value, kind, path)
    return _convert_generic(value, kind, path)


def _convert_generic(value: object, kind: Any, path: tuple[str, ...]) -> _Conversion:
    origin = get_origin(kind)
    if origin in (Union, UnionType):
        return _convert_union(value, kind, path)
    if origin in (dict, Mapping):
        return _convert_dict(value, get_args(kind)[1], path)
    if origin is tuple and get_args(kind)[1:] == (Ellipsis,):
        return _convert_items(value, get_args(kind)[0], path)
    raise TypeError(f"field type {kind!r} at {path} is not supported")


def _convert_scalar(
    value: object, kind: type[Any], path: tuple[str, ...]
) -> _Conversion:
    scalar = _SCALARS[kind]
    is_unexpected_bool = isinstance(value, bool) and kind is not bool
    if is_unexpected_bool or not isinstance(value, scalar.accepted):
        return _failed_conversion(path, _describe_value(value), _TYPE_NAMES[kind])
    try:
        return _Conversion(scalar.convert(value))
    except OverflowError:
        return _failed_conversion(path, "the number is too large", _TYPE_NAMES[kind])


def _convert_enum(
    value: object, kind: type[StrEnum], path: tuple[str, ...]
) -> _Conversion:
    values = {str(member): member for member in kind}
    if isinstance(value, str) and value in values:
        return _Conversion(values[value])
    return _failed_conversion(
        path, _describe_value(value), f"one of {_join_names(values)}"
    )


def _convert_union(value: object, kind: Any, path: tuple[str, ...]) -> _Conversion:
    choices = get_args(kind)
    if value is None and NoneType in choices:
        return _Conversion(None)
    other_types = tuple(choice for choice in choices if choice is not NoneType)
    if len(other_types) == 1:
        return _convert(value, other_types[0], path)
    outcomes = tuple(_convert(value, choice, path) for choice in other_types)
    successful = (outcome for outcome in outcomes if not outcome.problems)
    allowed = " or ".join(describe_type(choice) for choice in choices)
    return next(successful, _failed_conversion(path, _describe_value(value), allowed))


def _convert_dict(value: object, kind: Any, path: tuple[str, ...]) -> _Conversion:
    if not isinstance(value, Mapping):
        return _failed_conversion(
            path, _describe_value(value), describe_type(dict[str, kind])
        )
    invalid_keys = tuple(
        MappingProblem(
            (*path, str(key)), f"the key {_describe_value(key)}", "a string as key"
        )
        for key in value
        if not isinstance(key, str)
    )
    converted = {
        key: _convert(item, kind, (*path, str(key))) for key, item in value.items()
    }
    problems = invalid_keys + _collect_problems(converted.values())
    if problems:
        return _Conversion(None, problems)
    return _Conversion({key: item.value for key, item in converted.items()})


def _convert_items(value: object, kind: Any, path: tuple[str, ...]) -> _Conversion:
    if not isinstance(value, list | tuple):
        return _failed_conversion(
            path, _describe_value(value), describe_type(tuple[kind, ...])
        )
    converted = tuple(
        _convert(item, kind, (*path, str(index))) for index, item in enumerate(value)
    )
    problems = _collect_problems(converted)
    if problems:
        return _Conversion(None, problems)
    return _Conversion(tuple(item.value for item in converted))


def _convert_fields(value: object, kind: Any, path: tuple[str, ...]) -> _Conversion:
    if not isinstance(value, Mapping):
        return _failed_conversion(path, _describe_value(value), describe_type(kind))
    hints = get_type_hints(kind)
    unknown = _unknown_keys(value, kind, path)
    missing = tuple(
        MappingProblem((*path, name), "is missing", describe_type(hints[name]))
        for name in kind._fields
        if name not in value and name not in kind._field_defaults
    )
    converted = {
        name: _convert(value[name], hints[name], (*path, name))
        for name in kind._fields
        if name in value
    }
    problems = unknown + missing + _collect_problems(converted.values())
    if problems:
        return _Conversion(None, problems)
    return _Conversion(kind(**{name: item.value for name, item in converted.items()}))


def _unknown_keys(
    value: Mapping[Any, Any], kind: Any, path: tuple[str, ...]
) -> tuple[MappingProblem, ...]:
    return tuple(
        MappingProblem((*path, str(key)), "is an unknown key", _allowed_keys(kind))
        for key in value
        if key not in kind._fields
    )


def describe_type(kind: Any) -> str:
    """Return a description of the values that ``kind`` allows, for error messages."""
    kind = _unwrap_new_type(kind)
    if kind in _TYPE_NAMES:
        return _TYPE_NAMES[kind]
    if _is_named_tuple(kind):
        return f"a mapping with {_allowed_keys(kind)}"
    if isinstance(kind, type) and issubclass(kind, StrEnum):
        return f"one of {_join_names(str(member) for member in kind)}"
    return _describe_generic(get_origin(kind), get_args(kind))


def _describe_generic(origin: Any, arguments: tuple[Any, ...]) -> str:
    if origin in (Union, UnionType):
        return " or ".join(describe_type(choice) for choice in arguments)
    if origin in (dict, Mapping):
        return f"a mapping from names to {describe_type(arguments[1])}"
    if origin is tuple:
        return f"a list, each item {describe_type(arguments[0])}"
    return "any value"


def _failed_conversion(
    path: tuple[str, ...], problem: str, allowed: str
) -> _Conversion:
    return _Conversion(None, (MappingProblem(path, problem, allowed),))


def _collect_problems(converted: Iterable[_Conversion]) -> tuple[MappingProblem, ...]:
    return tuple(chain.from_iterable(item.problems for item in converted))


def _allowed_keys(kind: Any) -> str:
    return f"the keys {_join_names(kind._fields)}"


def _join_names(names: Iterable[str]) -> str:
    return ", ".join(names)


def _describe_value(value: object) -> str:
    if value is None:
        return "is empty"
    if isinstance(value, Mapping):
        return "is a mapping"
    if isinstance(value, list | tuple):
        return "is a list"
    return f"is {value!r}"


def _unwrap_new_type(kind: Any) -> Any:
    """Return the underlying type of a ``NewType``, or the type itself."""
    while hasattr(kind, "__supertype__"):
        kind = kind.__supertype__
    return kind


def _is_named_tuple(kind: Any) -> bool:
    return (
        isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields")
    )
