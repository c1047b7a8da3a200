"""Starts the program, and records signals that arrive while it is being imported."""

import signal
import sys

# Installed before the other imports: a signal that arrives during them would crash the program.
early_signals: list[int] = []
for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(signal_number, lambda received, _frame: early_signals.append(received))

from martenlead.node.serve import main  # noqa: E402 - the handlers are installed first

sys.exit(main(early_signals))
