"""The part of a page between two markers."""

BEGIN = "<!-- capacity: begin; written by `make capacity` -->"
END = "<!-- capacity: end -->"


class MarkerError(Exception):
    """The page does not have each marker once, in order."""


def replace_part(page: str, part: str) -> str:
    """Return ``page`` with ``part`` between its markers.

    Raises ``MarkerError`` if the markers are not there.
    """
    if page.count(BEGIN) != 1 or page.count(END) != 1:
        raise MarkerError(f"the page needs one line {BEGIN!r} and one {END!r}")
    before, _, rest = page.partition(BEGIN)
    _, found, after = rest.partition(END)
    if not found:
        raise MarkerError(f"{END!r} must come after {BEGIN!r}")
    return f"{before}{BEGIN}\n\n{part.strip()}\n\n{END}{after}"
