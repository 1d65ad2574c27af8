"""Election of the holder of each role, by leases that a majority of electors promise. No I/O.

`lease_terms`, `ballots`, `elector` and `candidate` implement the algorithm for one role. `fencing` checks
received orders. `elector_side`, `candidate_side` and `known_holders` manage all roles at one node, and
`election` connects them with the cluster's messages. docs/election.md explains why two nodes never hold the
same role.
"""
