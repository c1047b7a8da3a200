"""The edge program: an HTTP listener, a dispatcher around one policy, and graceful shutdown."""
