"""The platform's protocol: JSON-RPC clients, workers' JSON lines and the journal service.

It has codecs without I/O, a client of workers and a source of membership for the dispatcher.
See docs/design/node.md.
"""
