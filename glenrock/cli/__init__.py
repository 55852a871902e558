"""The command line: one module for each sub-command, imported only when the sub-command is called.

This package may import every other package, and no other package imports it, so `python -m glenrock` serves clients
without loading it. Exit codes: 0 done, 1 failed, 2 invalid input. A failure is reported in one line on standard error.
"""

from __future__ import annotations

from .main import main

__all__ = ["main"]
