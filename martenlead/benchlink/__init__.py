"""Earlier name of the package `simulator_adapter`, kept for `python -m martenlead.benchlink`."""
