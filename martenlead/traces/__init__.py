"""Public cluster traces: CSV readers that check each line, and Parquet files sorted by time."""
