"""Yarrowwall: a scheduler for agent programs."""
