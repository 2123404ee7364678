"""Format the output of the commands: text for people, or JSON for programs."""

import dataclasses
import typing as t

import msgspec


@dataclasses.dataclass
class Output:
    """Result of a command: ``data`` is printed as JSON, ``lines`` as text."""

    data: t.Any
    lines: list[str]
    exit_code: int = 0
    as_json: bool = False

    def __str__(self) -> str:
        if self.as_json:
            return msgspec.json.encode(self.data).decode()
        return "\n".join(self.lines)


def format_table(columns: list[str], rows: list[list[t.Any]]) -> list[str]:
    """Format a header and rows as lines with aligned columns."""
    table = [columns, *[[_format_value(value) for value in row] for row in rows]]
    widths = [max(len(row[i]) for row in table) for i in range(len(columns))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in table
    ]


def _format_value(value: t.Any) -> str:
    return f"{value:.1f}" if isinstance(value, float) else str(value)


def format_json(value: t.Any) -> str:
    """Format a value as indented JSON, to be read and edited."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()
