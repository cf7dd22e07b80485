"""Which new programs may begin while servers are scarce. No I/O; time is an argument."""
