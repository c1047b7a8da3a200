"""The adapter's program. With `MARTENLEAD_CAPTURE` naming a folder, its instances are recorded there."""

import os

from martenlead.benchlink.wire import Instance, main

if folder := os.environ.get("MARTENLEAD_CAPTURE"):
    from martenlead.capture.benchtape import capturing

    main(capturing(folder, Instance))
else:
    main(Instance)
