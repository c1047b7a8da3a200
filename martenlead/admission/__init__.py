"""Admission control: which requests enter the dispatcher, which wait, which are rejected.

The package does no I/O. `controller` makes the decisions; `queues`, `accounts`, `throughput` and
`reservations` hold the state that the decisions depend on. `reservation_token` encodes a
reservation, so that a request can redeem it at another dispatcher.
"""
