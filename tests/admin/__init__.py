"""Tests of operators' calls: HTTP, routes, metrics, and the bound on idle callers."""
