"""Prints the results of measurements, one line each."""

import os
import platform
import sys
import typing as t

_printed: dict[str, tuple[float, str]] = {}


def figure(name: str, value: float, unit: str) -> None:
    """Print one result and keep it for the summary."""
    _printed[name] = (value, unit)
    shown = f"{value:.4g}" if isinstance(value, float) else str(value)
    print(f"figure {name} {shown} {unit}", flush=True)


def print_frame(seed: int, processes: int) -> None:
    """Print what a run was measured with."""
    version = platform.python_version()
    print(
        f"frame seed={seed} processes={processes} cores={os.cpu_count()} "
        f"python={version}",
        flush=True,
    )


def print_table(title: str, columns: list[str], rows: list[list[t.Any]]) -> None:
    """Print a table for people."""
    cells = [columns, *[[_show(one) for one in row] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    print(f"\n{title}")
    for row in cells:
        print(
            "  ".join(one.ljust(width) for one, width in zip(row, widths, strict=True))
        )
    sys.stdout.flush()


def _show(value: t.Any) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)
