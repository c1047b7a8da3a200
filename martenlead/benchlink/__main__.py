"""Starts the simulator's adapter under its earlier name."""

import runpy

runpy.run_module("martenlead.simulator_adapter", run_name="__main__")
