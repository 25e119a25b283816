"""Tables of the capacity page: costs by size, their sum, and the limit."""

from collections.abc import Iterable
from typing import NamedTuple

HEADINGS = (
    "what",
    "size",
    "cost of each",
    "worked out",
    "alone at the limit with",
    "carried by",
    "change that it needs",
    "then",
)


class Unit(NamedTuple):
    """How figures are written: divided by ``scale``, with ``name`` after them."""

    name: str
    scale: float


class Item(NamedTuple):
    """``size`` times ``each``; ``after`` is the cost once ``change`` is built.

    Without a change ``after`` stays as it is.
    """

    what: str
    size: float
    each: float
    carried: str
    change: str = ""
    after: float | None = None

    @property
    def cost(self) -> float:
        """The cost at the target, as it stands."""
        return self.size * max(0.0, self.each)

    @property
    def later(self) -> float:
        """The cost at the target with the change."""
        return self.cost if self.after is None else self.after


class Table(NamedTuple):
    """What one role spends of one thing."""

    title: str
    unit: Unit
    limit: float
    items: tuple[Item, ...]

    @property
    def cost(self) -> float:
        """The sum at the target, as it stands."""
        return sum(item.cost for item in self.items)

    @property
    def later(self) -> float:
        """The sum at the target with all changes."""
        return sum(item.later for item in self.items)


def table_lines(table: Table) -> list[str]:
    """Return a table in Markdown, with its verdict."""
    rows = [_row(_cells(item, table)) for item in table.items]
    return [
        f"### {table.title}",
        "",
        verdict(table),
        "",
        _row(HEADINGS),
        _row("---" for _ in HEADINGS),
        *rows,
        "",
    ]


def verdict(table: Table) -> str:
    """Return in words whether a sum fits, and what breaks it first."""
    limit = figure(table.limit, table.unit)
    sum_now, sum_later = (
        figure(sum_, table.unit) for sum_ in (table.cost, table.later)
    )
    largest = max(table.items, key=lambda item: item.cost)
    if table.cost <= table.limit:
        return f"Fits: {sum_now} of {limit}. Largest: {largest.what}."
    fits = "would fit" if table.later <= table.limit else "would still NOT fit"
    return (
        f"**Does NOT fit**: {sum_now}, the limit is {limit}. Breaks first: "
        f"{largest.what}. With the changes named, none of them built: "
        f"{sum_later}, which {fits}."
    )


def figure(value: float, unit: Unit) -> str:
    """Return a figure with its unit, to three digits."""
    scaled = value / unit.scale
    text = f"{scaled:,.0f}" if abs(scaled) >= 1000 else f"{scaled:.3g}"
    return f"{text} {unit.name}".rstrip()


def number(value: float) -> str:
    """Return a size, to three digits below a thousand."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def _cells(item: Item, table: Table) -> tuple[str, ...]:
    alone = table.limit / item.each if item.each > 0 and item.size != 1 else None
    return (
        item.what,
        number(item.size),
        figure(item.each, table.unit),
        figure(item.cost, table.unit),
        "" if alone is None else number(alone),
        item.carried,
        item.change or "none",
        figure(item.later, table.unit),
    )


def _row(cells: Iterable[str]) -> str:
    return "| " + " | ".join(cells) + " |"
