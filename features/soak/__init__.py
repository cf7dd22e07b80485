"""Randomized soak test: real processes, loopback proxies, signals, clock offsets, disk losses.

``python -m features.soak --seed 7 --seconds 20`` runs one seed and exits with code 1 if
a guarantee was violated; ``--seeds 1-20`` runs several seeds. The guarantees are checked from
outside only: by the responses of clients and the requests that servers received.
"""
