import sys

from martenlead.node.serve import main

sys.exit(main())
