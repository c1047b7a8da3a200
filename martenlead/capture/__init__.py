"""What a dispatcher was notified of and decided, on disk, and the replay of it.

A recorder makes events, a writer stores them in segments, a reader gives them back, and a replayer
drives the same policy with them. docs/format-capture.md is the format.
"""
