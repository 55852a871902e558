"""Tests of the command line: output, result files and exit codes of the sub-commands."""
