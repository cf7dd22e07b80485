"""What the parts of a machine need from one another, as interfaces.

A part that needs another one takes it as one of these, so that packages depend one way only.
"""
