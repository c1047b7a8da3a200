"""Starts the program, and keeps the signals that come while it is being imported."""

import signal
import sys

# before the rest is imported: a signal that comes meanwhile would end the program as a crash
early_signals: list[int] = []
for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(signal_number, lambda received, _frame: early_signals.append(received))

from martenlead.node.serve import main  # noqa: E402 - the handlers come first

sys.exit(main(early_signals))
