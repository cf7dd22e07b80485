"""State of programs, and the owner that runs their calls."""
