"""martenlead: a router before runners that keep some of many models loaded."""
