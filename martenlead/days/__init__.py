"""Scripted days on loopback: a whole fleet of stand-ins around real edges, faults on cue, and the audit."""
