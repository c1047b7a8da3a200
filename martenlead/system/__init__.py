"""What every program needs of the operating system: its clocks and its listening sockets. No decisions."""
