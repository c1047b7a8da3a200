"""The dispatcher on the platform's protocol.

Clients speak JSON-RPC, workers speak JSON lines, and the journal service sends the membership. The
package has codecs without I/O, a client for workers and a membership source for the dispatcher.
See docs/design/node.md.
"""
