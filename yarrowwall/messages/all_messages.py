"""Importing this module registers every message with the codec."""

import yarrowwall.messages.capacity
import yarrowwall.messages.entries
import yarrowwall.messages.journal
import yarrowwall.messages.objects
import yarrowwall.messages.peers
import yarrowwall.messages.quotas
import yarrowwall.messages.records
import yarrowwall.messages.relaying
import yarrowwall.messages.replicated
import yarrowwall.messages.requests
import yarrowwall.messages.suspects  # noqa: F401
