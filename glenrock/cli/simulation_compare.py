"""`glenrock lab compare`: two sets of runs, paired by seed."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from ..toml_file import InputFileError
from . import shared_options as options
from .simulation_sweep import play


def runs_of(what: str, seeds: list[int], jobs: int, over: dict[str, Any]) -> list[dict[str, Any]]:
    """A folder of results (DIR@POLICY: one policy's), or FILE@POLICY to be played now."""
    from ..lab import record, runner, spec

    name, at, policy = what.rpartition("@")
    folder = Path(name) if at and Path(name).is_dir() else Path(what)
    if folder.is_dir():
        files = sorted((folder / "runs").glob("*.json")) or [folder / "summary.json"]
        found = [{"where": {}, **record.read_summary(f)} for f in files]
        found = [s for s in found if folder == Path(what) or s["policy"] == policy]
        if len({s["policy"] for s in found}) != 1:
            raise InputFileError(f"{what}: holds {len({s['policy'] for s in found})} policies; name one as DIR@POLICY")
        return runner.order(found)
    if not at:
        raise InputFileError(f"{what}: neither a folder of results nor FILE@POLICY")
    points = spec.points(Path(name), over)
    return play(runner.tasks(points, seeds, [options.check_policy(policy)]), jobs, None, False)


@click.command("compare")
@click.argument("a")
@click.argument("b")
@options.seeds
@options.jobs
@options.out
@options.settings
def command(a: str, b: str, seeds: str, jobs: int, out: Path | None, over: tuple[str, ...]) -> None:
    """Pair A and B by seed: difference, 95% interval and sign test of each measure.

    A and B are folders of results, DIR@POLICY for one policy of a folder, or FILE@POLICY, which is played now.

    \b
    Examples:
      glenrock lab compare experiments/calm.toml@random experiments/calm.toml@glenrock --seeds 20
      glenrock lab compare out/lab/before out/lab/after
    Exit codes: 0 done, 1 stopped, 2 bad input.
    """
    which, changed = options.parse_seeds(seeds), options.parse_overrides(over)
    from ..lab import plots, record, report

    left, right = runs_of(a, which, jobs, changed), runs_of(b, which, jobs, changed)
    names = (a, b)
    found = report.compared(left, right, names)
    for r in found["rows"]:
        click.echo(
            f"{r['measure']:24} {r['a']:10.4f} {r['b']:10.4f}  {r['difference']:+.4f} "
            f"[{r['low']:+.4f}, {r['high']:+.4f}]  higher {r['wins']} lower {r['losses']}  p {r['p']:.3f}"
        )
    if out:
        points = [s for s in found["seeds"] if s["a"] is not None and s["b"] is not None]
        rows = {name: [(s[side],) * 3 for s in points] for name, side in ((a, "a"), (b, "b"))}
        image = plots.bars("goal, by seed", "goal", [str(s["seed"]) for s in points], rows)

        def fill(beside: Path) -> None:
            (beside / "compare.json").write_text(record.text_of(json.loads(json.dumps(found))), encoding="utf-8")
            (beside / "report.html").write_text(
                report.page("compare.html", s=found, image=plots.address(image)), encoding="utf-8"
            )

        record.folder(out, fill)
        click.echo(f"results: {out}/compare.json, report.html")
