"""Emulates a fleet in virtual time around the real policy, from the scripts that the days on sockets use."""
