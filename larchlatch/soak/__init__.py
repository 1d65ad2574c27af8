"""A soak test: nodes under steady demand while the peers of each of their sockets misbehave.

It plays a scenario of the load test. Meanwhile connections are reset, closed, cut in the middle of a line,
filled with junk or held open at each step, and operators reload, drain and hot-restart nodes.
The nodes are checked from outside: they live, answer every request in time, repeat no effect, exceed no quota
and release what they used.
"""
