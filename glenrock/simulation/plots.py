"""Plots as PNG, embedded in reports as data addresses, so that a report is one file."""

from __future__ import annotations

import base64
import io
from collections.abc import Sequence
from typing import Any

import matplotlib

matplotlib.use("Agg")  # before pyplot is imported

import matplotlib.pyplot as plt
import numpy as np
import numpy.typing as npt
from hdrh.histogram import HdrHistogram
from matplotlib.axes import Axes
from matplotlib.figure import Figure

FAULT_COLOR = "#d9a441"
LINE_COLORS = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d35400", "#16a085", "#7f8c8d", "#34495e")
MIN_SHADE_S = 0.3  # width of a fault without a duration
MAX_SHOWN_LOAD = 1.2
LOG_AXIS_RATIO = 20  # of the greatest value of an axis over the least, from which the axis is logarithmic

Values = Sequence[float] | npt.NDArray[np.float64]
Series = tuple[str, Values, Values]
"""A label, the values of x, and the values of y."""
Estimate = tuple[float, float, float]
"""A mean, and the two ends of its interval."""
Curve = list[tuple[Any, float, float, float]]
"""Values of an axis, each with the mean and the ends of its interval."""


def _color(number: int) -> str:
    return LINE_COLORS[number % len(LINE_COLORS)]


def _png(figure: Figure) -> bytes:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=88, bbox_inches="tight", metadata={"Software": None})
    plt.close(figure)
    return buffer.getvalue()


def address(data: bytes) -> str:
    """Returns a PNG as a data address."""
    return "data:image/png;base64," + base64.b64encode(data).decode()


def _add_legend(axes: Axes) -> None:
    axes.legend(loc="upper left", bbox_to_anchor=(1, 1), frameon=False)


def over_time(title: str, lines: Sequence[Series], faults: list[dict[str, Any]], label: str) -> bytes:
    """Plots lines over seconds, with the faults shaded."""
    figure, axes = plt.subplots(figsize=(9, 2.6))
    for number, (name, x, y) in enumerate(lines):
        axes.plot(x, y, label=name, color=_color(number), linewidth=1.4)
    _shade(axes, faults)
    axes.set(title=title, xlabel="seconds", ylabel=label)
    axes.set_ylim(bottom=0)
    axes.grid(alpha=0.3)
    if len(lines) > 1:
        _add_legend(axes)
    return _png(figure)


def _shade(axes: Axes, faults: list[dict[str, Any]]) -> None:
    for fault in faults:
        begin, end = fault["from_s"], max(fault["to_s"], fault["from_s"] + MIN_SHADE_S)
        axes.axvspan(begin, end, color=FAULT_COLOR, alpha=0.25, linewidth=0)
        axes.text(begin, 1.0, f" {fault['kind']}", transform=axes.get_xaxis_transform(), fontsize=7, va="top")


def heat(loads: npt.NDArray[np.float64], faults: list[dict[str, Any]]) -> bytes:
    """Plots loads, servers by seconds; below 0, where a server was down, is white."""
    figure, axes = plt.subplots(figsize=(9, min(8, 1.6 + 0.12 * len(loads))))
    image = axes.imshow(
        np.ma.masked_less(loads, 0),
        aspect="auto",
        interpolation="nearest",
        cmap="inferno_r",
        vmin=0,
        vmax=MAX_SHOWN_LOAD,
        origin="lower",
    )
    for fault in faults:
        axes.axvline(fault["from_s"], color=LINE_COLORS[0], linewidth=0.8, linestyle=":")
    axes.set(title="Load of each instance, over what it can do (white: down)", xlabel="seconds", ylabel="instance")
    figure.colorbar(image, ax=axes)
    return _png(figure)


def waits(histograms: dict[str, str]) -> bytes:
    """Plots percentiles of encoded histograms, with the tail stretched."""
    figure, axes = plt.subplots(figsize=(9, 3))
    for number, (name, text) in enumerate(sorted(histograms.items())):
        histogram = HdrHistogram.decode(text.encode())
        if not histogram.get_total_count():
            continue
        one_in = np.logspace(0, 4, 60)
        values_ms = [histogram.get_value_at_percentile(100 * (1 - 1 / count)) / 1000 for count in one_in]
        axes.plot(one_in, values_ms, label=name, color=_color(number))
    axes.set(xscale="log", yscale="log", xlabel="one in so many takes longer than", ylabel="ms", title="Waits")
    axes.grid(alpha=0.3, which="both")
    _add_legend(axes)
    return _png(figure)


def against(axis: str, measure: str, curves: dict[str, Curve]) -> bytes:
    """Plots a measure against an axis of a sweep, a curve for each policy with its interval as a band."""
    figure, axes = plt.subplots(figsize=(6.4, 3.2))
    is_numeric = all(isinstance(x, int | float) for rows in curves.values() for x, *_ in rows)
    for number, (name, rows) in enumerate(curves.items()):
        x = [row[0] for row in rows] if is_numeric else list(range(len(rows)))
        axes.plot(x, [row[1] for row in rows], marker="o", markersize=3, label=name, color=_color(number))
        axes.fill_between(x, [row[2] for row in rows], [row[3] for row in rows], color=_color(number), alpha=0.18)
    if is_numeric:
        values = [float(x) for rows in curves.values() for x, *_ in rows]
        if min(values) > 0 and max(values) / min(values) >= LOG_AXIS_RATIO:
            axes.set_xscale("log", base=2)
    else:
        first = next(iter(curves.values()))
        axes.set_xticks(range(len(first)), [str(row[0]) for row in first])
    axes.set(xlabel=axis, ylabel=measure)
    axes.grid(alpha=0.3)
    if len(curves) > 1:
        _add_legend(axes)
    return _png(figure)


def bars(title: str, label: str, names: Sequence[str], rows: dict[str, list[Estimate]]) -> bytes:
    """Plots groups of bars with intervals: in each row an estimate for each name."""
    figure, axes = plt.subplots(figsize=(10, 3.4))
    width = 0.8 / max(1, len(rows))
    for number, (row, estimates) in enumerate(rows.items()):
        below = [max(0.0, mean - low) for mean, low, _ in estimates]
        above = [max(0.0, high - mean) for mean, _, high in estimates]
        axes.bar(
            np.arange(len(names)) + (number - (len(rows) - 1) / 2) * width,
            [mean for mean, _, _ in estimates],
            width,
            label=row,
            color=_color(number),
            yerr=[below, above],
            error_kw={"elinewidth": 0.8},
        )
    axes.set_xticks(range(len(names)), names, rotation=20, ha="right")
    axes.set(title=title, ylabel=label)
    axes.grid(alpha=0.3, axis="y")
    _add_legend(axes)
    return _png(figure)
