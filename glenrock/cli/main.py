"""The root of the command line, and the way in which every fault is told."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence

import click

from ..toml_file import InputFileError

DONE, FAILED, BAD = 0, 1, 2


class Failed(Exception):
    """What was asked for was sound and did not come about: exit 1, with this line."""


class Lazy(click.Group):
    """Sub-commands by name, each in a module of its own with a `command`."""

    def __init__(self, package: str, names: dict[str, str], **given: object) -> None:
        super().__init__(**given)  # type: ignore[arg-type]
        self.package, self.names = package, names

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(self.names)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in self.names:
            return None
        found: click.Command = importlib.import_module(f"{self.package}.{self.names[name]}").command
        return found


COMMANDS = {"serve": "serve", "check": "check", "lab": "lab", "stage": "stage", "fleet": "fleet", "demo": "demo"}
ROOT = Lazy(
    "glenrock.cli",
    COMMANDS,
    name="glenrock",
    help=(
        "A balancer for long-lived connections, and the tools around it.\n\nExit codes: 0 done, 1 failed, 2 bad input."
    ),
)


def main(given: Sequence[str] | None = None) -> None:
    """The console script."""
    sys.exit(run(given))


def run(given: Sequence[str] | None = None) -> int:
    """Runs a command line and returns its exit code; tests call this."""
    try:
        code = ROOT.main(given, prog_name="glenrock", standalone_mode=False)
        return code if isinstance(code, int) else DONE
    except InputFileError as bad:
        return told(str(bad), BAD)
    except click.UsageError as bad:
        where = f"{bad.ctx.command_path}: " if bad.ctx else ""
        return told(f"{where}{bad.format_message()}".replace("\n", " "), BAD)
    except click.ClickException as bad:
        return told(bad.format_message(), BAD)
    except click.Abort:
        return told("stopped", FAILED)
    except Failed as bad:
        return told(str(bad), FAILED)
    except ModuleNotFoundError as bad:
        if (bad.name or "").split(".")[0] == "glenrock":
            raise
        return told(f"{bad.name} is not installed: pip install 'glenrock[all]'", FAILED)
    except BrokenPipeError:
        return FAILED


def told(text: str, code: int) -> int:
    print(f"glenrock: {text}", file=sys.stderr)
    return code
