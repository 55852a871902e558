"""Plots, as PNG in a data address, so that a report is one file."""

from __future__ import annotations

import base64
import io
from collections.abc import Sequence
from typing import Any

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

SHADE = "#d9a441"
LINES = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d35400", "#16a085", "#7f8c8d", "#34495e")
Series = tuple[str, Sequence[float], Sequence[float]]


def png(figure: plt.Figure) -> bytes:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=88, bbox_inches="tight", metadata={"Software": None})
    plt.close(figure)
    return out.getvalue()


def address(data: bytes) -> str:
    return "data:image/png;base64," + base64.b64encode(data).decode()


def over_time(title: str, lines: Sequence[Series], faults: list[dict[str, Any]], label: str) -> bytes:
    figure, ax = plt.subplots(figsize=(9, 2.6))
    for n, (name, x, y) in enumerate(lines):
        ax.plot(x, y, label=name, color=LINES[n % len(LINES)], linewidth=1.4)
    shade(ax, faults)
    ax.set(title=title, xlabel="seconds", ylabel=label)
    ax.set_ylim(bottom=0)
    ax.grid(alpha=0.3)
    if len(lines) > 1:
        ax.legend(loc="upper left", bbox_to_anchor=(1, 1), frameon=False)
    return png(figure)


def shade(ax: plt.Axes, faults: list[dict[str, Any]]) -> None:
    for f in faults:
        ax.axvspan(f["from_s"], max(f["to_s"], f["from_s"] + 0.3), color=SHADE, alpha=0.25, linewidth=0)
        ax.text(f["from_s"], 1.0, f" {f['kind']}", transform=ax.get_xaxis_transform(), fontsize=7, va="top")


def heat(loads: np.ndarray, faults: list[dict[str, Any]]) -> bytes:
    """`loads`: instances by seconds; below 0 where an instance was down (white)."""
    figure, ax = plt.subplots(figsize=(9, min(8, 1.6 + 0.12 * len(loads))))
    shown = np.ma.masked_less(loads, 0)
    image = ax.imshow(shown, aspect="auto", interpolation="nearest", cmap="inferno_r", vmin=0, vmax=1.2, origin="lower")
    for f in faults:
        ax.axvline(f["from_s"], color=LINES[0], linewidth=0.8, linestyle=":")
    ax.set(title="Load of each instance, over what it can do (white: down)", xlabel="seconds", ylabel="instance")
    figure.colorbar(image, ax=ax)
    return png(figure)


def waits(kept: dict[str, str]) -> bytes:
    """Percentiles against time, the tail stretched."""
    figure, ax = plt.subplots(figsize=(9, 3))
    for n, (name, text) in enumerate(sorted(kept.items())):
        h = HdrHistogram.decode(text.encode())
        if not h.get_total_count():
            continue
        tail = np.logspace(0, 4, 60)  # 1 in so many
        values = [h.get_value_at_percentile(100 * (1 - 1 / t)) / 1000 for t in tail]
        ax.plot(tail, values, label=name, color=LINES[n % len(LINES)])
    ax.set(xscale="log", yscale="log", xlabel="one in so many takes longer than", ylabel="ms", title="Waits")
    ax.grid(alpha=0.3, which="both")
    ax.legend(loc="upper left", bbox_to_anchor=(1, 1), frameon=False)
    return png(figure)


def against(axis: str, measure: str, curves: dict[str, list[tuple[Any, float, float, float]]]) -> bytes:
    """A measure against a sweep's axis: for each policy (value, mean, low, high), the interval as a band."""
    figure, ax = plt.subplots(figsize=(6.4, 3.2))
    number = all(isinstance(x, int | float) for rows in curves.values() for x, *_ in rows)
    for n, (name, rows) in enumerate(curves.items()):
        x = [r[0] for r in rows] if number else list(range(len(rows)))
        ax.plot(x, [r[1] for r in rows], marker="o", markersize=3, label=name, color=LINES[n % len(LINES)])
        ax.fill_between(x, [r[2] for r in rows], [r[3] for r in rows], color=LINES[n % len(LINES)], alpha=0.18)
    if number:
        values = [float(x) for rows in curves.values() for x, *_ in rows]
        if min(values) > 0 and max(values) / min(values) >= 20:
            ax.set_xscale("log", base=2)
    else:
        first = next(iter(curves.values()))
        ax.set_xticks(range(len(first)), [str(r[0]) for r in first])
    ax.set(xlabel=axis, ylabel=measure)
    ax.grid(alpha=0.3)
    if len(curves) > 1:
        ax.legend(loc="upper left", bbox_to_anchor=(1, 1), frameon=False)
    return png(figure)


def bars(title: str, label: str, names: Sequence[str], rows: dict[str, list[tuple[float, float, float]]]) -> bytes:
    """Groups of bars with intervals: for each row, a (mean, low, high) for each name."""
    figure, ax = plt.subplots(figsize=(10, 3.4))
    width = 0.8 / max(1, len(rows))
    for n, (row, values) in enumerate(rows.items()):
        x = np.arange(len(names)) + (n - (len(rows) - 1) / 2) * width
        mean = [v[0] for v in values]
        ax.bar(
            x,
            mean,
            width,
            label=row,
            color=LINES[n % len(LINES)],
            yerr=[[max(0.0, v[0] - v[1]) for v in values], [max(0.0, v[2] - v[0]) for v in values]],
            error_kw={"elinewidth": 0.8},
        )
    ax.set_xticks(range(len(names)), names, rotation=20, ha="right")
    ax.set(title=title, ylabel=label)
    ax.grid(alpha=0.3, axis="y")
    ax.legend(loc="upper left", bbox_to_anchor=(1, 1), frameon=False)
    return png(figure)
