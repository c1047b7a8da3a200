"""The program at the edge: a listener, a dispatcher around one policy, and a graceful stop."""
