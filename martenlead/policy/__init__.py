"""All decisions of a dispatcher, free of I/O; docs/design.md says what is decided and why."""
