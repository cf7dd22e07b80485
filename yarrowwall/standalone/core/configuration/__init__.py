"""Operators' intents and plans, and the documents in force on every node."""
