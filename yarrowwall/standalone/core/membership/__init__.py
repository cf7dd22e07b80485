"""Which nodes are alive, learnt by gossip."""
