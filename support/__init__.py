"""Simulated clients, workers and links around the program's own parts, for tests and benchmarks alike.

Tests may use benchmarks (they check them) and both may use this package; it imports neither.
"""
