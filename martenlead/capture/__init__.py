"""What a dispatcher was told and decided, on disk; its replay through the same `Engine`, and what a replay
tells."""
