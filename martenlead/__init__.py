"""martenlead: a gateway that runs requests on workers, which load functions on demand."""
