"""Stand-ins for external systems: HTTP servers on top of :mod:`yarrowwall.standalone.models`."""
