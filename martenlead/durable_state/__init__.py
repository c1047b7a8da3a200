"""State that survives the process: a small crash-safe store, and what is worth keeping in it."""
