"""Election of the holder of each role, by leases that a majority of electors promise. No I/O.

`lease_terms`, `ballots`, `elector` and `candidate` are the algorithm for one role; `fencing` is what
receivers of orders check. `elector_side`, `candidate_side` and `known_holders` keep these for all roles of
one node, and `election` ties them to the cluster's messages. The argument why it is safe stands in
docs/duties.md.
"""
