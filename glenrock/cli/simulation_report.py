"""`glenrock simulation report`: regenerates report.html from stored results."""

from __future__ import annotations

import json
from pathlib import Path

import click

from ..toml_file import InputFileError


@click.command("report")
@click.argument("folder", type=click.Path(path_type=Path))
def command(folder: Path) -> None:
    """Regenerate report.html from the results of a run or a sweep in a folder.

    \b
    Example:
      glenrock simulation report out/lab/calm-glenrock-1
    Exit codes: 0 done, 2 invalid input.
    """
    from ..simulation import record, report

    if (folder / "sweep.json").is_file():
        try:
            page = report.render_sweep(json.loads((folder / "sweep.json").read_text(encoding="utf-8")))
        except (OSError, ValueError, KeyError) as error:
            raise InputFileError(f"{folder / 'sweep.json'}: {error}") from error
    else:
        page = report.render_run(folder)
    record.write_file(folder / "report.html", page)
    click.echo(f"results: {folder}/report.html")
