"""Quotas that the nodes of a cluster share. No I/O.

`settings` and `loan_terms` are what the cluster file says. `account` is one node's bookkeeping of one quota,
with `demand` for what was asked for of late. `borrower` and `lender` exchange loans between nodes, `pools` is
the work of the quota allocator, and `shared_quotas` ties them together. `counts` is how much the cluster has
used.
"""
