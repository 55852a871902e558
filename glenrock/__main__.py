"""`python -m glenrock`: reads the configuration and runs a balancer until a signal ends it.

Exit codes: 0 after SIGTERM or SIGINT, 1 after an error of the operating system or an unexpected exception, 2 for an
invalid configuration.
"""

from __future__ import annotations

import asyncio
import functools
import os
import signal
import sys

import uvloop

from . import log
from .config import Config, ConfigError, read_config
from .net.clock import Clock
from .program import Program, raise_descriptor_limit

EXIT_SYSTEM_ERROR = 1
EXIT_CONFIG_ERROR = 2


async def serve(config: Config, clock: Clock, early_sighups: list[int]) -> None:
    """Serves until SIGTERM or SIGINT. SIGHUP reloads the configuration.

    Args:
        config: the configuration at the start.
        clock: the one clock of the process.
        early_sighups: an entry for each SIGHUP received before the event loop ran.

    Raises:
        ConfigError: the configuration names something that cannot be used.
        OSError: an address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    program = Program(config, clock)
    reload = functools.partial(program.reload, functools.partial(read_config, os.environ))
    loop.add_signal_handler(signal.SIGHUP, reload)
    if early_sighups:
        reload()
    if program.coordination:
        await program.coordination.wait_before_start(stop)
    await program.start()
    await program.run_until(stop)


def main() -> int:
    """Runs a balancer, and returns the exit code."""
    # The default action of SIGHUP ends the process. The handler is set before the configuration is read, and `serve`
    # reloads if the signal arrived before the event loop could handle it.
    early_sighups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_sighups.append(number))
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        return _report_failure(error, EXIT_CONFIG_ERROR)
    log.configure(config.log)
    raise_descriptor_limit(config.descriptor_limit)
    try:
        uvloop.run(serve(config, Clock(), early_sighups))
    except ConfigError as error:
        return _report_failure(error, EXIT_CONFIG_ERROR)
    except OSError as error:
        return _report_failure(error, EXIT_SYSTEM_ERROR)
    return 0


def _report_failure(error: Exception, exit_code: int) -> int:
    print(f"glenrock: {error}", file=sys.stderr)
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
