"""Starts the simulator's adapter under its earlier name."""

from martenlead.simulator_adapter.__main__ import main

main()
