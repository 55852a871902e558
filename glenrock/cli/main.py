"""The root command of the command line, and the mapping of errors to exit codes."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence

import click

from ..toml_file import InputFileError

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_INVALID_INPUT = 2


class CommandFailedError(Exception):
    """A command failed although its input is valid: exit code 1, with the message on standard error."""


class LazyGroup(click.Group):
    """A group of sub-commands, each the `command` of a module that is imported when the sub-command is called.

    Attributes:
        package: the package of the modules.
        modules: the module of each sub-command, by the sub-command's name, in the order of the help page.
        hidden_aliases: the current names of renamed sub-commands, by their former names, which stay accepted.
    """

    def __init__(
        self, package: str, modules: dict[str, str], hidden_aliases: dict[str, str] | None = None, **options: object
    ) -> None:
        super().__init__(**options)  # type: ignore[arg-type]
        self.package = package
        self.modules = modules
        self.hidden_aliases = hidden_aliases or {}

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of the sub-commands, in the order of the help page."""
        return list(self.modules)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Imports a sub-command. Returns None if there is no sub-command of that name."""
        module = self.modules.get(self.hidden_aliases.get(name, name))
        if module is None:
            return None
        command: click.Command = importlib.import_module(f"{self.package}.{module}").command
        return command


COMMANDS = {
    "serve": "serve",
    "check": "check",
    "simulation": "simulation",
    "stage": "scenario",
    "fleet": "coordination",
    "demo": "demo",
    "soak": "soak",
}
HIDDEN_ALIASES = {"lab": "simulation"}
ROOT = LazyGroup(
    "glenrock.cli",
    COMMANDS,
    HIDDEN_ALIASES,
    name="glenrock",
    help=(
        "A load balancer for long-lived connections, with its simulation, testbed and operator tools."
        "\n\nExit codes: 0 done, 1 failed, 2 invalid input."
    ),
)


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the console script and exits with its code."""
    sys.exit(run(arguments))


def run(arguments: Sequence[str] | None = None) -> int:
    """Runs a command line, by default the arguments of this process, and returns its exit code."""
    try:
        exit_code = ROOT.main(arguments, prog_name="glenrock", standalone_mode=False)
        return exit_code if isinstance(exit_code, int) else EXIT_DONE
    except InputFileError as error:
        return _fail(str(error), EXIT_INVALID_INPUT)
    except click.UsageError as error:
        prefix = f"{error.ctx.command_path}: " if error.ctx else ""
        return _fail(f"{prefix}{error.format_message()}".replace("\n", " "), EXIT_INVALID_INPUT)
    except click.ClickException as error:
        return _fail(error.format_message(), EXIT_INVALID_INPUT)
    except click.Abort:
        return _fail("interrupted", EXIT_FAILED)
    except CommandFailedError as error:
        return _fail(str(error), EXIT_FAILED)
    except ModuleNotFoundError as error:
        if (error.name or "").split(".")[0] == "glenrock":
            raise
        return _fail(f"{error.name} is not installed: pip install 'glenrock[all]'", EXIT_FAILED)
    except BrokenPipeError:
        return EXIT_FAILED


def _fail(message: str, exit_code: int) -> int:
    print(f"glenrock: {message}", file=sys.stderr)
    return exit_code
