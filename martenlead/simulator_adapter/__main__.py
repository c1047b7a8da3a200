"""The adapter's program. With `MARTENLEAD_CAPTURE` naming a folder, its instances are recorded there."""

import os

from martenlead.simulator_adapter.wire import SimulatedDispatcher, main

if folder := os.environ.get("MARTENLEAD_CAPTURE"):
    from martenlead.capture.simulator_recorder import record_instances

    main(record_instances(folder, SimulatedDispatcher))
else:
    main(SimulatedDispatcher)
