"""Durable storage of a replica's log in its data folder."""
