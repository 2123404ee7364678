"""Draws waits and shares over time."""

import typing as t

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt

from bench.arrivals import Deployment
from bench.policy_cell import Run
from bulrushspur_kernel.work import Size

POINTS_S: t.Final = 2.0


def draw_run(cell: Deployment, run: Run, ideal: Run, path: str) -> None:
    """Draw a run beside the ideal queue into a PNG file."""
    figure, axes = plt.subplots(2, 2, figsize=(11, 7), sharex=True)
    for column, (name, one) in enumerate((("bulrushspur", run), ("ideal", ideal))):
        _draw_waits(axes[0][column], one)
        _draw_shares(axes[1][column], cell, one)
        axes[0][column].set_title(f"{cell.name}, 1.5x overload: {name}")
        axes[1][column].set_xlabel("seconds")
    axes[0][0].set_ylabel("mean wait of starts, s")
    axes[1][0].set_ylabel("slots in use")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    plt.close(figure)


def _draw_waits(axes: t.Any, run: Run) -> None:
    for size in Size:
        sums: dict[int, list[float]] = {}
        for fate in run.fates:
            if fate.started_s is not None and fate.job.kind.size is size:
                wait_s = fate.started_s - fate.job.at_s
                sums.setdefault(int(fate.started_s // POINTS_S), []).append(wait_s)
        points = sorted(sums)
        axes.plot(
            [one * POINTS_S for one in points],
            [max(sum(sums[one]) / len(sums[one]), 1e-4) for one in points],
            label=size.value,
        )
    axes.set_yscale("log")
    axes.legend(fontsize=8)


def _draw_shares(axes: t.Any, cell: Deployment, run: Run) -> None:
    total = sum(cell.shares.values())
    for i, (team, share) in enumerate(cell.shares.items()):
        axes.plot(
            [one.at_s for one in run.samples],
            [one.used.get(team, 0) for one in run.samples],
            color=f"C{i}",
            linewidth=1,
            label=f"team {team}, share {share:g}",
        )
        axes.axhline(cell.slots * share / total, color=f"C{i}", alpha=0.3)
    axes.legend(fontsize=7)
