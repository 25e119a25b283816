"""Arguments from the shell, which all arrive as texts."""

from expression import Error, Ok, Result

from clementinebend_operator_cli.exceptions import CommandError, invalid_input

MAX_DIGITS = 18
"""Digits of the largest number that fits 64 bits in any case."""

FALSE_WORDS = frozenset(("", "0", "false", "no"))


def is_true(value: str | bool) -> bool:
    """Return whether a flag is set; any text but a negative one sets it."""
    return str(value).lower() not in FALSE_WORDS


def whole_number(
    value: str | int, name: str, lowest: int = 0
) -> Result[int, CommandError]:
    """Return an argument as a whole number that is not below ``lowest``."""
    text = str(value)
    digits = text.removeprefix("-")
    is_short = len(digits) <= MAX_DIGITS
    is_number = is_short and digits.isascii() and digits.isdigit()
    if is_number and int(text) >= lowest:
        return Ok(int(text))
    message = f"{name} is {text!r}; allowed: a whole number from {lowest}"
    return Error(invalid_input(message))


def optional_number(value: str, name: str) -> Result[int | None, CommandError]:
    """Return an argument as a whole number, None if it was not given."""
    if not value:
        return Ok(None)
    return whole_number(value, name).map(lambda number: number)
