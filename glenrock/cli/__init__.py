"""The command line: one module a sub-command, imported only when it is called.

May import all of the project. Nothing imports it: `python -m glenrock` without arguments is the program that
serves, and loads none of this. Exit codes: 0 done, 1 failed, 2 bad input, told in one line.
"""

from __future__ import annotations

from .main import main

__all__ = ["main"]
