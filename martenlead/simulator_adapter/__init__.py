"""The simulator's protocol on standard input and output: decodes, calls the policy, encodes.

It turns ids into the policy's objects and seconds into nanoseconds, and decides nothing.
"""
