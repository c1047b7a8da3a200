"""The bench's wire: parses, turns ids into objects and seconds into nanoseconds, writes. Decides nothing."""
