"""`glenrock simulation list`: lists experiments, policies and faults."""

from __future__ import annotations

from pathlib import Path

import click

from ..toml_file import InputFileError


@click.command("list")
@click.option(
    "--folder",
    type=click.Path(path_type=Path),
    default=Path("experiments"),
    show_default=True,
    help="Folder of the experiments.",
)
def command(folder: Path) -> None:
    """List the experiments of a folder, the routing policies, and the faults that experiments can inject.

    \b
    Example:
      glenrock simulation list
    """
    from ..simulation import spec, spec_faults
    from ..simulation.policies import POLICIES

    click.echo("experiments:")
    for path in sorted(folder.glob("*.toml")):
        try:
            experiment = spec.load(path)
            axes_text = f"; sweeps {', '.join(experiment.sweep)}" if experiment.sweep else ""
            click.echo(f"  {path}: {experiment.title or experiment.name}{axes_text}")
        except InputFileError as error:
            click.echo(f"  {error}")
    click.echo("policies:")
    for name, (_, description) in POLICIES.items():
        click.echo(f"  {name}: {description}")
    click.echo("faults:")
    for fault in spec_faults.FAULT_TYPES:
        click.echo(f"  {fault.__struct_config__.tag}: {(fault.__doc__ or '').strip().splitlines()[0]}")
