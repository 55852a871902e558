"""The laboratory: the fleet emulated in simulated time, round the same decisions that serve.

`spec` reads experiment files, `engine` keeps time, `streams` gives random numbers, `model/` holds what is
balanced, `faults` what goes wrong, `policies/` what the module is compared with, `rules` and `measure` what
is seen, `day` one run of all this, `runner` many of them, `report` and `plots` what is told of it.

May import `glenrock.routing` and the libraries of the extra `lab`. Nothing of `glenrock.net` is used here, and
the program that serves imports nothing of the laboratory. Page for users: docs/simulation.md.
"""
