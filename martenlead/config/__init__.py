"""Settings: evaluates Jsonnet, validates it against typed structures, exports their JSON Schema.

`load` evaluates Jsonnet and checks it against a structure. `schema` holds the structures of the
edge program. `edge` reads them, checks what a schema cannot express, and converts them for the
policy.
"""
