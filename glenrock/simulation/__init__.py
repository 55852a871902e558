"""The fleet in simulated time, round the routing decisions that serve.

`engine` keeps time and `streams` draws random numbers. `model` holds balancers, servers, clients, links, the front
and service discovery. `fleet_state` holds the state of one run; `connection_accounting`, `client_requests`,
`server_attempts` and `process_control` each add a layer of what happens, and `fleet_simulation` runs the whole.
`faults` injects faults, `policies` holds what the routing decisions are compared with, `invariants` and `measure`
record the run, `run_summary` sums it up. `spec` reads experiment files; `spec_tables` and `spec_faults` have their
tables, `spec_ranges` their ranges, `spec_checks` what is checked. `balancer_settings` derives the balancers' settings.
`runner` makes many runs, `record`, `report` and `plots` write results.

Imports `glenrock.routing`, parts of `glenrock.coordination`, and the libraries of the extra `lab`; nothing that serves
imports this package. User page: docs/simulation.md.
"""
