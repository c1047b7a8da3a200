"""A soak of real nodes: restarts, signals, new configurations and bad peers, drawn from a seed.

`schedule` draws what happens, `run` plays it around nodes that are processes of their own, and `verdict`
judges what passed on the sockets with the audit of the scripted days. Started by
`python -m support.soak`.
"""
