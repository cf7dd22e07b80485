"""Operators' intents, plans, and the documents that every node has in force."""
