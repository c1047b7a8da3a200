"""Renames modules, names and members across the tree; `tools/rename.py` is the command."""
