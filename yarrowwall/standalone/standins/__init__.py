"""Stand-ins of the outside systems: HTTP servers over :mod:`yarrowwall.standalone.models`."""
