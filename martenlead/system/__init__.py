"""What every program needs of the operating system.

Its clocks, its listening sockets, and files that are replaced as a whole. No decisions.
"""
