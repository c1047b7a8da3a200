"""Operating-system services that all programs share.

Clocks, listening sockets, writes to sockets, the log, and files that are replaced atomically. It
makes no decisions.
"""
