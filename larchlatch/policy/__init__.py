"""The decisions of a node: where a session goes, whether it is tried again, and what is rejected.

A node makes one `larchlatch.policy.balancer.Balancer` from its settings and a seeded `random.Random`, and
calls

- `place(now, session)`, which returns where to send a session, or that it is held, or its final answer;
- `outcome(now, session, outcome)`, which records how an attempt ended and returns what to do next;
- `wait(now)`, which returns what is due now (probes, a poll of the endpoint list, migrations, attempts to be
  cancelled) and how long until something else is.

It reports what it observes by the balancer's other methods. Their types are in `larchlatch.policy.types`.
Times are whole microseconds of the caller's clock. Nothing here reads a clock, does I/O or shares state with
another node.

`policy` in deploy/balancer.toml lists the modules that hold thresholds and make choices. The others (`types`,
`upstream`, `structures`, `status`, `state_export`, `driver`) decide nothing. docs/design.md explains the
choices.
"""
