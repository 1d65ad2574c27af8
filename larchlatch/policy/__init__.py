"""Decides which upstream a session goes to, whether it gets further attempts, and what a node sheds.

A node makes one `larchlatch.policy.balancer.Balancer` from its settings and a seeded `random.Random`, and
calls

- `place(now, session)`, which returns the upstream for a session, or that it is held, or its final answer;
- `outcome(now, session, outcome)`, which records how an attempt ended and returns what to do next;
- `due_actions(now)`, which returns the actions due now (probes, a poll of the endpoint list, migrations,
  attempts to be cancelled) and the time until the next action is due.

The node reports its observations through the other methods of the balancer. The types of arguments and
results are in `larchlatch.policy.types`. Times are whole microseconds of the caller's clock. No module here
reads a clock, does I/O or shares state with another node.

The key `policy` of deploy/balancer.toml lists the modules that hold thresholds and make choices. The others
(`types`, `upstream`, `structures`, `status`, `state_export`, `driver`) make no decisions. docs/design.md
explains the choices.
"""
