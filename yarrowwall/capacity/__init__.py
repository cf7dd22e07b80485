"""Exchange of loads and admission decisions among gateways, through boards on the replicas.

A gateway reports its active requests and programs to one replica and receives the sums over the
other gateways. Which programs may begin is decided in :mod:`yarrowwall.policy`.
"""
