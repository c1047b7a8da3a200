"""The HTTP protocol of workers and discovery: encodes requests and interprets responses.

docs/protocol.md specifies it.
"""
