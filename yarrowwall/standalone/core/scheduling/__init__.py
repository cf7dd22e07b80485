"""Which engine runs a call, and in what order calls are placed."""
