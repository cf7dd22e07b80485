"""The command line, one module a command group."""
