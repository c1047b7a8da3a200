"""Measures how each cost of the control plane grows with the size of the fleet, without sockets.

Hollow dispatchers run the program's own dispatcher, policy, membership codecs and configuration reader in
virtual time against one shared model of the workers. `python -m benchmarks.scale --help` lists the commands.
"""
