"""Conversion of mappings to typed values, with all problems reported."""

from enum import StrEnum
from typing import Any, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinebend_records.mapping import MappingProblem, convert_mapping


class Colour(StrEnum):
    """An enumeration."""

    RED = "red"
    BLUE = "blue"


class Inner(NamedTuple):
    """A nested value."""

    name: str
    size: int = 1


class Outer(NamedTuple):
    """One field of each supported type."""

    inner: Inner
    ratio: float
    by_name: dict[str, Inner] = {}
    items: tuple[Inner, ...] = ()
    colour: Colour = Colour.RED
    note: str | None = None
    extra: Any = None
    enabled: bool = False


SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
TREES = st.recursive(
    SCALARS,
    lambda children: (
        st.lists(children)
        | st.dictionaries(st.sampled_from([*Outer._fields, *Inner._fields]), children)
    ),
)


def test_all_problems_are_reported_with_path_and_allowed_values() -> None:
    document = {
        "inner": {"name": 3, "sise": 1},
        "ratio": True,
        "by_name": {"a": {}, 7: {"name": "x"}},
        "items": [{"name": "x", "size": False}, "y"],
        "colour": "green",
        "note": 5,
    }
    assert convert_mapping(document, Outer) == (
        MappingProblem(("inner", "sise"), "is an unknown key", "the keys name, size"),
        MappingProblem(("inner", "name"), "is 3", "a string"),
        MappingProblem(("ratio",), "is True", "a number"),
        MappingProblem(("by_name", "7"), "the key is 7", "a string as key"),
        MappingProblem(("by_name", "a", "name"), "is missing", "a string"),
        MappingProblem(("items", "0", "size"), "is False", "a whole number"),
        MappingProblem(("items", "1"), "is 'y'", "a mapping with the keys name, size"),
        MappingProblem(("colour",), "is 'green'", "one of red, blue"),
        MappingProblem(("note",), "is 5", "a string"),
    )


def test_nested_values_and_defaults() -> None:
    document = {
        "inner": {"name": "a"},
        "ratio": 2,
        "by_name": {"b": {"name": "b", "size": 2}},
        "items": [{"name": "c"}],
        "colour": "blue",
        "extra": {"free": [1]},
    }
    assert convert_mapping(document, Outer) == Outer(
        Inner("a"),
        2.0,
        {"b": Inner("b", 2)},
        (Inner("c"),),
        Colour.BLUE,
        extra={"free": [1]},
    )


@pytest.mark.parametrize("value", [None, [], "text", 1])
def test_value_that_is_not_a_mapping_is_a_problem(value: object) -> None:
    problems = convert_mapping(value, Inner)
    assert not isinstance(problems, Inner)
    assert problems[0].path == ()
    assert problems[0].allowed == "a mapping with the keys name, size"


@settings(derandomize=True)
@given(TREES)
def test_conversion_returns_a_value_or_problems(document: object) -> None:
    converted = convert_mapping(document, Outer)
    problems = not isinstance(converted, Outer)
    assert not problems or all(isinstance(item, MappingProblem) for item in converted)
    assert not problems or len(converted) > 0
