"""A soak test of real nodes: restarts, signals, new configurations and faulty peers, chosen from a seed.

`schedule` chooses what happens, `run` carries it out around nodes that are processes of their own, and
`verdict` checks the records of clients and workers with the audit of the scripted days. Started by
`python -m support.soak`.
"""
