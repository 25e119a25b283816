"""Lines, tables and the page that capacity is worked out with."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinebend_bench.capacity.page import (
    BEGIN,
    END,
    MarkerError,
    replace_part,
)
from clementinebend_bench.capacity.tables import (
    Item,
    Table,
    Unit,
    figure,
    table_lines,
    verdict,
)
from clementinebend_bench.slopes.fit import Point, fit_line
from clementinebend_bench.slopes.live import DIMENSIONS, plans_of
from clementinebend_bench.slopes.rigs import RigPlan

MEGABYTES = Unit("MB", 1e6)
FIXED = Item("process", 1, 30e6, "the interpreter")
LINKS = Item("links", 100, 0.5e6, "streams", "fewer links", 10e6)

coefficients = st.floats(-1e6, 1e6, allow_nan=False)


@given(coefficients, coefficients, st.sets(st.integers(0, 10_000), min_size=2))
def test_points_on_a_line_give_that_line(
    at_zero: float, slope: float, sizes: set[int]
) -> None:
    line = fit_line(Point(size, at_zero + slope * size) for size in sizes)
    scale = 1 + abs(at_zero) + abs(slope)
    assert line.slope == pytest.approx(slope, abs=1e-6 * scale)
    assert line.error <= 1e-6 * scale * (1 + max(sizes))


def test_least_squares_of_points_beside_a_line() -> None:
    line = fit_line((Point(0, 1), Point(1, 1), Point(2, 4)))
    assert (line.at_zero, line.slope) == pytest.approx((0.5, 1.5))
    assert line.error == pytest.approx(1.0)
    assert line.at(10) == pytest.approx(15.5)


def test_one_size_alone_gives_a_level_line() -> None:
    line = fit_line((Point(5, 1), Point(5, 3)))
    assert (line.at_zero, line.slope, line.error) == (2, 0, 1)


def test_each_dimension_varies_one_size_from_the_same_start() -> None:
    for dimension in DIMENSIONS:
        plans = plans_of(dimension)
        sizes = [getattr(plan, dimension.field) for plan in plans]
        least = RigPlan(dimension.role)
        assert least in plans, dimension
        assert len(set(sizes)) == len(sizes) >= 3, dimension
        reset = {
            plan._replace(**{dimension.field: getattr(least, dimension.field)})
            for plan in plans
        }
        assert reset == {least}, dimension


def test_a_sum_above_its_limit_says_so_and_names_the_largest() -> None:
    table = Table("Memory", MEGABYTES, 64e6, (FIXED, LINKS))
    said = verdict(table)
    assert "NOT fit" in said
    assert "80 MB, the limit is 64 MB" in said
    assert "Breaks first: links" in said
    assert "40 MB, which would fit" in said


def test_a_sum_that_no_change_saves_says_so() -> None:
    table = Table("Memory", MEGABYTES, 35e6, (FIXED, LINKS))
    assert "would still NOT fit" in verdict(table)


@pytest.mark.parametrize("limit", [80e6, 81e6])
def test_a_sum_within_its_limit_fits(limit: float) -> None:
    assert verdict(Table("Memory", MEGABYTES, limit, (FIXED, LINKS))).startswith("Fits")


def test_a_row_tells_the_size_at_which_it_alone_breaks_the_limit() -> None:
    lines = table_lines(Table("Memory", MEGABYTES, 64e6, (FIXED, LINKS)))
    row = next(line for line in lines if line.startswith("| links"))
    cells = [cell.strip() for cell in row.strip("|").split("|")]
    assert cells[:5] == ["links", "100", "0.5 MB", "50 MB", "128"]
    assert cells[-1] == "10 MB"


def test_a_falling_slope_counts_as_no_cost() -> None:
    assert Item("peers", 369, -3.0, "streams").cost == 0


def test_figures_keep_three_digits() -> None:
    assert figure(0.0012345, Unit("% of a core", 0.01)) == "0.123 % of a core"
    assert figure(4_125_229, Unit("B/s", 1)) == "4,125,229 B/s"


def test_only_the_part_between_the_markers_is_replaced() -> None:
    page = f"# Title\n\n{BEGIN}\n\nold\n\n{END}\n\nrest\n"
    replaced = replace_part(page, "new\n")
    assert replaced == f"# Title\n\n{BEGIN}\n\nnew\n\n{END}\n\nrest\n"
    assert replace_part(replaced, "new") == replaced


@pytest.mark.parametrize(
    "page", ["", BEGIN, END, f"{END}\n{BEGIN}", f"{BEGIN}{BEGIN}{END}"]
)
def test_a_page_without_its_markers_is_left_alone(page: str) -> None:
    with pytest.raises(MarkerError):
        replace_part(page, "new")
