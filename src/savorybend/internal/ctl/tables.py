"""Formats rows as an aligned table, or as JSON for programs."""

import collections.abc

import msgspec

Row = collections.abc.Mapping[str, object]


def render(rows: collections.abc.Sequence[Row], as_json: bool) -> str:
    """Returns the rows as text.

    Args:
        rows: Rows with the same columns.
        as_json: Whether to return JSON instead of an aligned table.
    """
    if as_json:
        encoded = msgspec.json.encode(list(rows))
        return msgspec.json.format(encoded, indent=2).decode()
    if not rows:
        return "(none)"
    columns = list(rows[0])
    lines = [[_heading(column) for column in columns]]
    lines += [[_cell(row[column]) for column in columns] for row in rows]
    widths = [
        max(len(line[index]) for line in lines) for index in range(len(columns))
    ]
    return "\n".join(_line(line, widths) for line in lines)


def _heading(column: str) -> str:
    return column.replace("_", " ").upper()


def _cell(value: object) -> str:
    match value:
        case float():
            return f"{value:.3f}".rstrip("0").rstrip(".")
        case None:
            return "-"
        case list() | tuple():
            return ",".join(str(part) for part in value)
        case _:
            return str(value)


def _line(cells: list[str], widths: list[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return "  ".join(padded).rstrip()
