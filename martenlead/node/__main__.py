import signal
import sys

# before the rest is imported: a signal that comes meanwhile would end the program as a crash
early: list[int] = []
for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(number, lambda got, _frame: early.append(got))

from martenlead.node.serve import main  # noqa: E402

sys.exit(main(early))
