"""The platform's protocol in and out: JSON-RPC clients, runners' JSON lines, the journal service. Codecs
without I/O, a link and a roster source for the dispatcher. docs/design/node.md."""
