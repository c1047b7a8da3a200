"""All decisions of a dispatcher, without I/O; docs/design.md gives the decisions and reasons."""
