"""The root of the command line, and the way in which every fault is told."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence

import click

from ..toml_file import InputFileError

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


class CommandFailedError(Exception):
    """What was asked for was sound and did not come about: exit 1, with this line."""


class LazyGroup(click.Group):
    """Sub-commands by name, each in a module of its own with a `command`."""

    def __init__(self, package: str, names: dict[str, str], **given: object) -> None:
        super().__init__(**given)  # type: ignore[arg-type]
        self.package, self.names = package, names

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names, in the order of the help page."""
        return list(self.names)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Imports the sub-command\'s module; None where there is no such name."""
        if name not in self.names:
            return None
        found: click.Command = importlib.import_module(f"{self.package}.{self.names[name]}").command
        return found


COMMANDS = {
    "serve": "serve",
    "check": "check",
    "lab": "simulation",
    "stage": "scenario",
    "fleet": "coordination",
    "demo": "demo",
    "soak": "soak",
}
ROOT = LazyGroup(
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
        return code if isinstance(code, int) else EXIT_DONE
    except InputFileError as error:
        return _fail(str(error), EXIT_BAD_INPUT)
    except click.UsageError as error:
        where = f"{error.ctx.command_path}: " if error.ctx else ""
        return _fail(f"{where}{error.format_message()}".replace("\n", " "), EXIT_BAD_INPUT)
    except click.ClickException as error:
        return _fail(error.format_message(), EXIT_BAD_INPUT)
    except click.Abort:
        return _fail("stopped", EXIT_FAILED)
    except CommandFailedError as error:
        return _fail(str(error), EXIT_FAILED)
    except ModuleNotFoundError as error:
        if (error.name or "").split(".")[0] == "glenrock":
            raise
        return _fail(f"{error.name} is not installed: pip install 'glenrock[all]'", EXIT_FAILED)
    except BrokenPipeError:
        return EXIT_FAILED


def _fail(text: str, exit_code: int) -> int:
    print(f"glenrock: {text}", file=sys.stderr)
    return exit_code
