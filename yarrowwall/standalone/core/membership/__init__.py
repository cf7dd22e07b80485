"""Membership of nodes, distributed by gossip."""
