"""Output of the client: lines for people, JSON for programs."""

import dataclasses
import typing as t

import msgspec


@dataclasses.dataclass
class Output:
    """What a command shows; ``data`` for programs, ``lines`` for people."""

    data: t.Any
    lines: list[str]
    exit_code: int = 0
    as_json: bool = False

    def __str__(self) -> str:
        if self.as_json:
            return msgspec.json.encode(self.data).decode()
        return "\n".join(self.lines)


def make_table(columns: list[str], rows: list[list[t.Any]]) -> list[str]:
    """Make the lines of a table."""
    cells = [columns, *[[_show(one) for one in row] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    return [
        "  ".join(
            one.ljust(width) for one, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]


def _show(value: t.Any) -> str:
    return f"{value:.1f}" if isinstance(value, float) else str(value)


def format_json(value: t.Any) -> str:
    """Format for a person to read and edit."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()
