"""The planner program, which decides where functions are loaded, and its link with the edges."""
