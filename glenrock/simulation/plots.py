"""Plots as PNG images. Reports embed them as data URLs, so that a report is a single file."""

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

from .report_labels import FAULT_LABELS, histogram_label

FAULT_COLOR = "#d9a441"
LINE_COLORS = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d35400", "#16a085", "#7f8c8d", "#34495e")
MIN_SHADE_S = 0.3  # keeps a fault without a duration visible
MAX_SHOWN_LOAD = 1.2  # fraction of a server's capacity; higher loads have the same colour
MIN_LOG_AXIS_RATIO = 20  # an axis is logarithmic if its greatest value is at least this multiple of its least

Values = Sequence[float] | npt.NDArray[np.float64]
Series = tuple[str, Values, Values]
"""A label, the x values and the y values."""
Estimate = tuple[float, float, float]
"""A mean, and the lower and upper end of its interval."""
Curve = list[tuple[Any, float, float, float]]
"""For each value of an axis: the value, the mean, and the lower and upper end of its interval."""


def _line_color(index: int) -> str:
    return LINE_COLORS[index % len(LINE_COLORS)]


def _png(figure: Figure) -> bytes:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=88, bbox_inches="tight", metadata={"Software": None})
    plt.close(figure)
    return buffer.getvalue()


def data_url(png: bytes) -> str:
    """Returns a PNG image as a data URL."""
    return "data:image/png;base64," + base64.b64encode(png).decode()


def _add_legend(axes: Axes) -> None:
    axes.legend(loc="upper left", bbox_to_anchor=(1, 1), frameon=False)


def time_series(title: str, lines: Sequence[Series], faults: list[dict[str, Any]], y_label: str) -> bytes:
    """Plots lines over the time of a run in seconds, with the faults shaded."""
    figure, axes = plt.subplots(figsize=(9, 2.6))
    for index, (name, x, y) in enumerate(lines):
        axes.plot(x, y, label=name, color=_line_color(index), linewidth=1.4)
    _shade_faults(axes, faults)
    axes.set(title=title, xlabel="time (s)", ylabel=y_label)
    axes.set_ylim(bottom=0)
    axes.grid(alpha=0.3)
    if len(lines) > 1:
        _add_legend(axes)
    return _png(figure)


def _shade_faults(axes: Axes, faults: list[dict[str, Any]]) -> None:
    for fault in faults:
        begin, end = fault["from_s"], max(fault["to_s"], fault["from_s"] + MIN_SHADE_S)
        axes.axvspan(begin, end, color=FAULT_COLOR, alpha=0.25, linewidth=0)
        label = FAULT_LABELS.get(fault["kind"], fault["kind"])
        axes.text(begin, 1.0, f" {label}", transform=axes.get_xaxis_transform(), fontsize=7, va="top")


def load_heatmap(loads: npt.NDArray[np.float64], faults: list[dict[str, Any]]) -> bytes:
    """Plots the load of each server over time. A negative load means that the server was down, and is white."""
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
    axes.set(title="Load of each server (white: down)", xlabel="time (s)", ylabel="server number")
    figure.colorbar(image, ax=axes, label="fraction of the server's capacity")
    return _png(figure)


def percentiles(histograms: dict[str, str]) -> bytes:
    """Plots the percentiles of encoded histograms of microseconds, on an axis that spreads the highest percentiles."""
    figure, axes = plt.subplots(figsize=(9, 3))
    for index, (name, text) in enumerate(sorted(histograms.items())):
        histogram = HdrHistogram.decode(text.encode())
        if not histogram.get_total_count():
            continue
        inverse_fractions = np.logspace(0, 4, 60)  # 1 / (1 - percentile): 100 is the 99th percentile
        values_ms = [histogram.get_value_at_percentile(100 * (1 - 1 / inverse)) / 1000 for inverse in inverse_fractions]
        axes.plot(inverse_fractions, values_ms, label=histogram_label(name), color=_line_color(index))
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="N: one in N takes longer (100 is the 99th percentile)",
        ylabel="duration (ms)",
        title="Percentiles of durations",
    )
    axes.grid(alpha=0.3, which="both")
    _add_legend(axes)
    return _png(figure)


def axis_curves(axis: str, measure: str, curves: dict[str, Curve]) -> bytes:
    """Plots a measure along an axis of a sweep: one curve per policy, with its interval as a band."""
    figure, axes = plt.subplots(figsize=(6.4, 3.2))
    is_numeric = all(isinstance(x, int | float) for rows in curves.values() for x, *_ in rows)
    for index, (name, rows) in enumerate(curves.items()):
        x = [row[0] for row in rows] if is_numeric else list(range(len(rows)))
        axes.plot(x, [row[1] for row in rows], marker="o", markersize=3, label=name, color=_line_color(index))
        axes.fill_between(x, [row[2] for row in rows], [row[3] for row in rows], color=_line_color(index), alpha=0.18)
    if is_numeric:
        values = [float(x) for rows in curves.values() for x, *_ in rows]
        if min(values) > 0 and max(values) / min(values) >= MIN_LOG_AXIS_RATIO:
            axes.set_xscale("log", base=2)
    else:
        first = next(iter(curves.values()))
        axes.set_xticks(range(len(first)), [str(row[0]) for row in first])
    axes.set(xlabel=axis, ylabel=measure)
    axes.grid(alpha=0.3)
    if len(curves) > 1:
        _add_legend(axes)
    return _png(figure)


def grouped_bars(title: str, y_label: str, names: Sequence[str], rows: dict[str, list[Estimate]]) -> bytes:
    """Plots a group of bars for each name, with one bar and its interval for each row's estimate."""
    figure, axes = plt.subplots(figsize=(10, 3.4))
    width = 0.8 / max(1, len(rows))
    for index, (row, estimates) in enumerate(rows.items()):
        below = [max(0.0, mean - low) for mean, low, _ in estimates]
        above = [max(0.0, high - mean) for mean, _, high in estimates]
        axes.bar(
            np.arange(len(names)) + (index - (len(rows) - 1) / 2) * width,
            [mean for mean, _, _ in estimates],
            width,
            label=row,
            color=_line_color(index),
            yerr=[below, above],
            error_kw={"elinewidth": 0.8},
        )
    axes.set_xticks(range(len(names)), names, rotation=20, ha="right")
    axes.set(title=title, ylabel=y_label)
    axes.grid(alpha=0.3, axis="y")
    _add_legend(axes)
    return _png(figure)
