"""Settings: Jsonnet in, checked structures out, and the JSON Schema of what may stand in them. Decides
nothing."""
