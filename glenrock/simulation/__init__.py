"""Discrete-event simulation of a fleet, which runs the production routing decisions.

`engine` schedules events and `streams` draws random numbers. `model` has balancers, servers, clients, links, the front
end and service discovery. `fleet_state` holds the state of one run; `connection_accounting`, `client_requests`,
`server_attempts` and `process_control` each add a layer of behaviour, and `fleet_simulation` runs the whole.
`faults` injects faults, `policies` has the policies that routing is compared with, `invariants` and `measure` record
the run, and `run_summary` summarizes it. `spec` reads experiment files; `spec_tables` and `spec_faults` define their
tables, `spec_ranges` draws from their ranges, and `spec_checks` checks them. `balancer_settings` derives the balancers'
settings. `runner` executes many runs, `record`, `report` and `plots` write results.

Imports `glenrock.routing`, parts of `glenrock.coordination`, and the libraries of the extra `lab`; no production
module imports this package. User page: docs/simulation.md.
"""
