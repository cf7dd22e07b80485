"""The replicated record store: records with one writer each, on a majority of a group.

A record is complete once a majority of its group has it on disk. Readers ask so many
replicas that they share one with every majority. There is no leader; what needs an
order (token budgets) writes first and reads afterwards, see
:mod:`yarrowwall.replication.budget`.
"""
