import os

from martenlead.benchlink.wire import Instance, main

if folder := os.environ.get("MARTENLEAD_CAPTURE"):
    from martenlead.capture.benchtape import capturing

    main(capturing(folder))
else:
    main(Instance)
