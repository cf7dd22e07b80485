"""The command line, with one module per command or group of commands."""
