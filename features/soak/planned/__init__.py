"""Soak test of planned operations only, which must not cut any request."""
