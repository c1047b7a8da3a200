"""Admission control: which requests enter the dispatcher, which wait, which are rejected.

Free of I/O. `controller` makes the decisions; `queues`, `accounts`, `throughput` and `reservations`
hold the state that it decides on. `reservation_token` lets a reservation travel from one dispatcher
to another.
"""
