"""`glenrock lab list`: what there is to run, to drive and to break."""

from __future__ import annotations

from pathlib import Path

import click

from ..toml_file import InputFileError


@click.command("list")
@click.option("--folder", type=click.Path(path_type=Path), default=Path("experiments"), show_default=True)
def command(folder: Path) -> None:
    """Name the experiments of a folder, the policies and the faults.

    \b
    Example:
      glenrock lab list
    """
    from ..lab import spec
    from ..lab.policies import POLICIES

    click.echo("experiments:")
    for path in sorted(folder.glob("*.toml")):
        try:
            e = spec.load(path)
            axes = f"; sweeps {', '.join(e.sweep)}" if e.sweep else ""
            click.echo(f"  {path}: {e.title or e.name}{axes}")
        except InputFileError as error:
            click.echo(f"  {error}")
    click.echo("policies:")
    for name, (_, what) in POLICIES.items():
        click.echo(f"  {name}: {what}")
    click.echo("faults:")
    for fault in spec.FAULTS:
        click.echo(f"  {fault.__struct_config__.tag}: {(fault.__doc__ or '').strip().splitlines()[0]}")
