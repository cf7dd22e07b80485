"""Models of external systems without I/O, used by the stand-ins and the simulation."""
