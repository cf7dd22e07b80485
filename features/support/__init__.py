"""Helpers of the step modules."""
