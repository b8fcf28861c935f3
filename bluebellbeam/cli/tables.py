"""Plain-text tables of a state dump."""

__all__ = ["diff_tables", "format_tables"]

MAX_CELL_CHARS = 40
"""Longer values of a cell are cut off."""


def format_tables(tables):
    """Return the tables of a state dump as aligned text."""
    return "\n\n".join(_format(name, rows) for name, rows in tables.items())


def _format(name, rows):
    title = f"{name} ({len(rows)})"
    if not rows:
        return title
    columns = list(rows[0])
    cells = [[_cell(row[column]) for column in columns] for row in rows]
    widths = [
        max(len(column), *(len(line[i]) for line in cells))
        for i, column in enumerate(columns)
    ]
    lines = [title, _line(columns, widths)]
    lines.extend(_line(line, widths) for line in cells)
    return "\n".join(lines)


def _line(cells, widths):
    return "  ".join(
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    ).rstrip()


def _cell(value):
    text = ",".join(map(str, value)) if isinstance(value, list) else str(value)
    return text if len(text) <= MAX_CELL_CHARS else f"{text[: MAX_CELL_CHARS - 1]}…"


def diff_tables(left, right):
    """Return the differences between two state dumps as lines of text.

    Rows are matched by table and by the value of their first column.
    """
    lines = []
    for table in sorted(left.keys() | right.keys()):
        before = _by_key(left.get(table, []))
        after = _by_key(right.get(table, []))
        for key in sorted(before.keys() | after.keys()):
            lines.extend(_diff_row(table, key, before.get(key), after.get(key)))
    return lines


def _by_key(rows):
    return {str(next(iter(row.values()))): row for row in rows}


def _diff_row(table, key, left, right):
    if left is None or right is None:
        side = "right" if left is None else "left"
        return [f"{table} {key}: only on the {side}"]
    return [
        f"{table} {key}.{name}: {left[name]} | {right.get(name)}"
        for name in left
        if left[name] != right.get(name)
    ]
