"""Settings: Jsonnet in, checked structures out, and their JSON Schema. Decides nothing.

`load` evaluates Jsonnet and checks it against a structure. `schema` holds the structures of the
edge program. `edge` reads them, checks what a schema cannot say, and translates them for the
policy.
"""
