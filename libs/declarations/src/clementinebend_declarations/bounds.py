"""Validators that the checks of all sections share."""

from collections.abc import Hashable, Iterable, Iterator
from math import isfinite
from re import compile as compile_pattern

from clementinebend_declarations.exceptions import DeclarationError

NAME_PATTERN = compile_pattern(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NAME_ALLOWED = "1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit"

KeyPath = tuple[str, ...]


def declaration_error(path: KeyPath, problem: str, allowed: str) -> DeclarationError:
    """Return an error without a file; the caller adds the file later."""
    return DeclarationError(path, problem, allowed)


def check_name(path: KeyPath, name: str | None = None) -> Iterator[DeclarationError]:
    """Yield an error unless ``name``, by default the last key, is a valid name."""
    found = path[-1] if name is None else name
    if not NAME_PATTERN.fullmatch(found):
        yield declaration_error(path, f"is {found!r}", NAME_ALLOWED)


def check_range(
    path: KeyPath, value: float, lowest: float, highest: float
) -> Iterator[DeclarationError]:
    """Yield an error unless ``value`` is a finite number within the bounds."""
    if not isfinite(value) or not lowest <= value <= highest:
        yield declaration_error(
            path, f"is {value}", f"a number from {lowest} to {highest}"
        )


def check_unique(
    entries: Iterable[tuple[KeyPath, Hashable]], allowed: str
) -> Iterator[DeclarationError]:
    """Yield an error for each value that repeats the value of an earlier path."""
    first: dict[Hashable, KeyPath] = {}
    for path, value in entries:
        earlier = first.setdefault(value, path)
        if earlier != path:
            yield declaration_error(path, f"repeats {'.'.join(earlier)}", allowed)
