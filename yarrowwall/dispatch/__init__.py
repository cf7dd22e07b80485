"""Sending of attempts to servers and relaying of their answers.

Owns the connections to servers and the data that is read from them. The rules (which server, how
long to wait, whether to send again) are in :mod:`yarrowwall.policy`.
"""
