"""Stand-ins for workers, endpoint list, artifact store and clients, for tests and scripted days.

They are written from the protocol alone and import no dispatcher code. They record what passes their
sockets, and the audit reads nothing but these records. Work takes time on the clock without using a core,
so that a whole fleet fits on one machine.
"""
