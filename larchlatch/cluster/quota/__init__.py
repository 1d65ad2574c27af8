"""Quotas on new sessions that the nodes of a cluster share. No I/O.

`settings` and `loan_terms` hold the values of the cluster file. `account` is one node's bookkeeping of one
quota, with `demand` for its recent use. `borrower` requests loans from other nodes and `lender` grants
them; `pools` holds the amounts that the quota allocator lends. `shared_quotas` combines these modules for one
node. `counts` estimates the use by the whole cluster.
"""
