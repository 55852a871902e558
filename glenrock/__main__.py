"""`python -m glenrock`: reads the configuration, and runs a balancer until a signal ends it.

Exit codes: 0 after SIGTERM or SIGINT, 1 where the system refuses what is needed, 2 for a fault in the configuration.
"""

from __future__ import annotations

import asyncio
import functools
import os
import signal
import sys

import uvloop

from . import log
from .config import Config, ConfigError, read
from .net.clock import Clock
from .program import Program, raise_descriptor_limit

EXIT_SYSTEM_ERROR = 1
EXIT_BAD_CONFIG = 2


async def serve(config: Config, clock: Clock, early_reloads: list[int]) -> None:
    """Serves until SIGTERM or SIGINT. SIGHUP reads the configuration again.

    Args:
        config: as read at the start.
        clock: the one clock of the process.
        early_reloads: SIGHUPs that came before the loop ran.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    program = Program(config, clock)
    reload = functools.partial(program.reload, functools.partial(read, os.environ))
    loop.add_signal_handler(signal.SIGHUP, reload)
    if early_reloads:  # the file may have changed after it was read
        reload()
    if program.coordination:
        await program.coordination.wait_before_start(stop)
    await program.start()
    await program.run_until(stop)


def main() -> int:
    """Runs a balancer. Returns the exit code."""
    # Without a handler SIGHUP ends the program, and its clients with it. So there is one from the first moment on, and
    # what comes before the loop runs is made up for.
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))
    try:
        config = read(os.environ)
    except ConfigError as error:
        return _fail(error, EXIT_BAD_CONFIG)
    log.configure(config.log)
    raise_descriptor_limit(config.sockets)
    try:
        uvloop.run(serve(config, Clock(), early_reloads))
    except ConfigError as error:
        return _fail(error, EXIT_BAD_CONFIG)
    except OSError as error:
        return _fail(error, EXIT_SYSTEM_ERROR)
    return 0


def _fail(error: Exception, exit_code: int) -> int:
    print(f"glenrock: {error}", file=sys.stderr)
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
