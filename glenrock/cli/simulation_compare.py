"""`glenrock simulation compare`: compares two sets of simulations, paired by parameters and seed."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from ..toml_file import InputFileError
from . import shared_options as options
from .simulation_sweep import run_tasks

LABEL_WIDTH = 42  # characters


def load_or_run(source: str, seeds: list[int], jobs: int, overrides: dict[str, Any]) -> list[dict[str, Any]]:
    """Returns the summaries of a folder, those of one policy of a folder (DIR@POLICY), or simulates them (FILE@POLICY).

    Raises:
        InputFileError: the source is none of these, or the folder has results of several policies and none is named.
    """
    from ..simulation import runner, spec

    path, separator, policy = source.rpartition("@")
    if separator and Path(path).is_dir():
        return runner.sort_summaries(_read_summaries(source, Path(path), policy))
    if Path(source).is_dir():
        return runner.sort_summaries(_read_summaries(source, Path(source), None))
    if not separator:
        raise InputFileError(f"{source}: neither a folder of results nor FILE@POLICY")
    points = spec.sweep_points(Path(path), overrides)
    return run_tasks(runner.make_tasks(points, seeds, [options.check_policy(policy)]), jobs, None, False)


def _read_summaries(source: str, folder: Path, policy: str | None) -> list[dict[str, Any]]:
    """Reads the summaries of a policy from a folder; with `policy` None, those of the only policy it has.

    Raises:
        InputFileError: a summary cannot be read, or the summaries are not all of one policy.
    """
    from ..simulation import record

    files = sorted((folder / "runs").glob("*.json")) or [folder / "summary.json"]
    summaries = [{"where": {}, **record.read_summary(file)} for file in files]
    summaries = [summary for summary in summaries if policy is None or summary["policy"] == policy]
    policy_count = len({summary["policy"] for summary in summaries})
    if policy_count != 1:
        raise InputFileError(f"{source}: has results of {policy_count} policies; name one policy as DIR@POLICY")
    return summaries


@click.command("compare")
@click.argument("a")
@click.argument("b")
@options.seeds
@options.jobs
@options.out
@options.settings
def command(a: str, b: str, seeds: str, jobs: int, out: Path | None, overrides: tuple[str, ...]) -> None:
    """Compare A and B by pairs of equal seed: difference, 95% interval and sign test of each measure.

    A and B are folders of results, DIR@POLICY for one policy of a folder, or FILE@POLICY to simulate an experiment.

    \b
    Examples:
      glenrock simulation compare experiments/calm.toml@random experiments/calm.toml@glenrock --seeds 20
      glenrock simulation compare out/lab/before out/lab/after
    Exit codes: 0 done, 1 interrupted, 2 invalid input.
    """
    seed_numbers, override_values = options.parse_seeds(seeds), options.parse_overrides(overrides)
    from ..simulation import report

    summaries_a = load_or_run(a, seed_numbers, jobs, override_values)
    summaries_b = load_or_run(b, seed_numbers, jobs, override_values)
    comparison = report.compare_runs(summaries_a, summaries_b, (a, b))
    click.echo(f"A: {a}\nB: {b}")
    click.echo(f"{'measure':{LABEL_WIDTH}} {'mean of A':>10} {'mean of B':>10}  mean of B - A [95% interval]")
    for row in comparison["rows"]:
        click.echo(
            f"{row['label']:{LABEL_WIDTH}} {row['a']:10.4f} {row['b']:10.4f}  {row['difference']:+.4f} "
            f"[{row['low']:+.4f}, {row['high']:+.4f}]  "
            f"B higher in {row['wins']}, lower in {row['losses']} of {row['pairs']} pairs  p {row['p']:.3f}"
        )
    if out:
        _write_results(out, a, b, comparison)
        click.echo(f"results: {out}/compare.json, report.html")


def _write_results(out: Path, a: str, b: str, comparison: dict[str, Any]) -> None:
    from ..simulation import plots, record, report

    pairs = [pair for pair in comparison["seeds"] if pair["a"] is not None and pair["b"] is not None]
    # A single run has no interval, so the lower and upper bounds of its bar equal its value.
    bars = {name: [(pair[side],) * 3 for pair in pairs] for name, side in ((a, "a"), (b, "b"))}
    image = plots.grouped_bars(
        "Goal of each pair of runs, by seed", "goal", [str(pair["seed"]) for pair in pairs], bars
    )
    page = report.render_template("compare.html", comparison=comparison, image=plots.data_url(image))

    def write_files(temporary: Path) -> None:
        content = record.json_text(json.loads(json.dumps(comparison)))
        (temporary / "compare.json").write_text(content, encoding="utf-8")
        (temporary / "report.html").write_text(page, encoding="utf-8")

    record.write_folder(out, write_files)
