"""Captures: the inputs and decisions of a dispatcher's policy on disk, and their replay.

A recorder creates events, a writer stores them in segments, a reader reads them back, and a
replayer feeds them to the same policy. docs/format-capture.md describes the format.
"""
