"""Quotas that the nodes of a cluster share. No I/O.

`settings` and `loan_terms` hold the values of the cluster file. `account` is one node's bookkeeping of one
quota, with `demand` for its recent use. `borrower` and `lender` exchange loans between nodes, `pools` is the
part of the quota allocator, and `shared_quotas` combines them. `counts` estimates the use by the whole
cluster.
"""
