"""Checkers that judge a played scenario from outside: one property each, by what players observe.

They import nothing of the policy and of the cluster's decisions, which they judge.
"""
