"""The HTTP protocol spoken with workers and with discovery: requests and the meaning of responses.

docs/protocol.md specifies it.
"""
