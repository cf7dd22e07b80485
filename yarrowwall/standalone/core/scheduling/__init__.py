"""Choice of the engine for a call, and the order in which calls are placed."""
