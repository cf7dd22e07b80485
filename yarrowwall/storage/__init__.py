"""Durable storage of a journal replica under its data folder."""
