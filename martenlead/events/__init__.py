"""CloudEvents over HTTP/1.1: message parsing, the event codec, and both ends of a connection.

The package only transports events; it decides nothing about the requests in them.
"""
