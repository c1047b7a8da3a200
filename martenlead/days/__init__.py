"""Scripted days on loopback: a fleet of stand-ins around real edges, faults at their times, and the audit."""
