"""Tests of the pages: names, tables and examples on them agree with the code."""
