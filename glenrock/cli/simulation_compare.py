"""`glenrock simulation compare`: compares two sets of simulations, paired by seed."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from ..toml_file import InputFileError
from . import shared_options as options
from .simulation_sweep import run_tasks


def load_or_run(source: str, seeds: list[int], jobs: int, overrides: dict[str, Any]) -> list[dict[str, Any]]:
    """Returns summaries: those of a folder, of one policy of a folder (DIR@POLICY), or simulated now (FILE@POLICY).

    Raises:
        InputFileError: the source is none of these, or the folder has several policies and none is named.
    """
    from ..simulation import runner, spec

    path, at, policy = source.rpartition("@")
    if at and Path(path).is_dir():
        return runner.sort_summaries(_read_summaries(source, Path(path), policy))
    if Path(source).is_dir():
        return runner.sort_summaries(_read_summaries(source, Path(source), None))
    if not at:
        raise InputFileError(f"{source}: neither a folder of results nor FILE@POLICY")
    points = spec.sweep_points(Path(path), overrides)
    return run_tasks(runner.make_tasks(points, seeds, [options.check_policy(policy)]), jobs, None, False)


def _read_summaries(source: str, folder: Path, policy: str | None) -> list[dict[str, Any]]:
    """Reads the summaries of one policy; `policy` None: of the only one.

    Raises:
        InputFileError: a summary cannot be read, or the summaries are not of exactly one policy.
    """
    from ..simulation import record

    files = sorted((folder / "runs").glob("*.json")) or [folder / "summary.json"]
    summaries = [{"where": {}, **record.read_summary(file)} for file in files]
    summaries = [summary for summary in summaries if policy is None or summary["policy"] == policy]
    policy_count = len({summary["policy"] for summary in summaries})
    if policy_count != 1:
        raise InputFileError(f"{source}: holds {policy_count} policies; name one as DIR@POLICY")
    return summaries


@click.command("compare")
@click.argument("a")
@click.argument("b")
@options.seeds
@options.jobs
@options.out
@options.settings
def command(a: str, b: str, seeds: str, jobs: int, out: Path | None, overrides: tuple[str, ...]) -> None:
    """Pair A and B by seed: difference, 95% interval and sign test of each measure.

    A and B are folders of results, DIR@POLICY for one policy of a folder, or FILE@POLICY, which is simulated now.

    \b
    Examples:
      glenrock simulation compare experiments/calm.toml@random experiments/calm.toml@glenrock --seeds 20
      glenrock simulation compare out/lab/before out/lab/after
    Exit codes: 0 done, 1 stopped, 2 bad input.
    """
    seed_numbers, values = options.parse_seeds(seeds), options.parse_overrides(overrides)
    from ..simulation import report

    left = load_or_run(a, seed_numbers, jobs, values)
    right = load_or_run(b, seed_numbers, jobs, values)
    comparison = report.compared(left, right, (a, b))
    for row in comparison["rows"]:
        click.echo(
            f"{row['measure']:24} {row['a']:10.4f} {row['b']:10.4f}  {row['difference']:+.4f} "
            f"[{row['low']:+.4f}, {row['high']:+.4f}]  higher {row['wins']} lower {row['losses']}  p {row['p']:.3f}"
        )
    if out:
        _write_results(out, a, b, comparison)
        click.echo(f"results: {out}/compare.json, report.html")


def _write_results(out: Path, a: str, b: str, comparison: dict[str, Any]) -> None:
    from ..simulation import plots, record, report

    pairs = [pair for pair in comparison["seeds"] if pair["a"] is not None and pair["b"] is not None]
    # A single run has no interval: its bar's lower and upper bounds are its value.
    bars = {name: [(pair[side],) * 3 for pair in pairs] for name, side in ((a, "a"), (b, "b"))}
    image = plots.bars("goal, by seed", "goal", [str(pair["seed"]) for pair in pairs], bars)
    page = report.page("compare.html", s=comparison, image=plots.address(image))

    def write_files(temporary: Path) -> None:
        content = record.json_text(json.loads(json.dumps(comparison)))
        (temporary / "compare.json").write_text(content, encoding="utf-8")
        (temporary / "report.html").write_text(page, encoding="utf-8")

    record.write_folder(out, write_files)
