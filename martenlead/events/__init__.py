"""CloudEvents over HTTP/1.1: message parsing, the event codec, and both ends of a connection.

Nothing is decided here.
"""
