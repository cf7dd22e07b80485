"""A randomized soak: real processes, loopback proxies, signals, bad clocks and storage.

``python -m features.soak --seed 7 --seconds 20`` plays one seed and ends with exit code 1
if a promise was broken, naming the seed; ``--seeds 1-20`` plays many. The promises are
checked from outside only, by what clients got and what servers received.
"""
