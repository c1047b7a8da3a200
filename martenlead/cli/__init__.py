"""The command line: one file a sub-command, each only parses and calls."""
