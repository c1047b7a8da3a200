"""The command line: one module per sub-command, which parses its arguments and calls the rest."""
