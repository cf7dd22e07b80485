"""What gateways tell one another of load and room, over boards on the replicas.

A gateway reports its requests and programs under way to one replica of its zone and asks it for
everybody's. Which programs may begin is decided in :mod:`yarrowwall.policy`.
"""
