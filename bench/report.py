"""The table that a replay prints."""

from rich.console import Console
from rich.table import Table

from bench.audit import Figures
from bench.trace import Bound

WIDTH_COLUMNS = 100


def print_table(
    name: str, figures: Figures, bounds: list[Bound], other: Figures | None
) -> None:
    """Print one table; with ``other``, the ratio to it as well."""
    table = Table(title=name)
    columns = ["figure", "value", "stated", "result"]
    columns += ["against", "ratio"] if other else []
    for column in columns:
        side = "left" if column == "figure" else "right"
        table.add_column(column, justify=side)
    stated = {bound.figure: bound for bound in bounds}
    for figure, value in figures.items():
        row = [figure, f"{value:,.2f}", *describe_bound(stated, figure, value)]
        if other:
            base = other.get(figure, 0.0)
            ratio = f"{value / base:.3f}" if base else "-"
            row += [f"{base:,.2f}", ratio]
        table.add_row(*row)
    Console(width=WIDTH_COLUMNS).print(table)


def describe_bound(stated: dict, figure: str, value: float) -> list[str]:
    """Return the bound of a figure and whether it holds."""
    bound = stated.get(figure)
    if bound is None:
        return ["", ""]
    limit = bound.at_most
    sign = "<=" if limit is not None else ">="
    limit = bound.at_least if limit is None else limit
    return [f"{sign} {limit:g}", "ok" if bound.holds(value) else "FAILED"]
