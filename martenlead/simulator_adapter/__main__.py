"""The adapter's program: `python -m martenlead.simulator_adapter`.

If `MARTENLEAD_CAPTURE` names a folder, every instance is captured there.
"""

import os

from martenlead.simulator_adapter.batch_loop import serve
from martenlead.simulator_adapter.dispatcher import SimulatedDispatcher


def main() -> None:
    """Answers batches until standard input ends."""
    folder = os.environ.get("MARTENLEAD_CAPTURE")
    if not folder:
        serve(SimulatedDispatcher)
        return
    # captures need packages that a plain run does not need
    from martenlead.capture.simulator_recorder import record_instances  # noqa: PLC0415

    serve(record_instances(folder, SimulatedDispatcher))


if __name__ == "__main__":
    main()
