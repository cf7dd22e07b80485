"""Models of the outside systems, without I/O; the stand-ins and the simulation run them."""
