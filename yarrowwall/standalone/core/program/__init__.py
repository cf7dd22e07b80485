"""Programs: their state, and the owner that runs their calls."""
