"""Tests of the command line: output, files and exit codes of the sub-commands."""
