"""Runners, roster, vault and clients for tests and days, written from the protocol alone.

They know the protocol's bytes and nothing of the dispatcher: no module, no edge. What passes their sockets
they write down (`record`); the audit reads that and nothing else. Work takes time on the clock and no core,
so that a whole fleet fits one machine.
"""
