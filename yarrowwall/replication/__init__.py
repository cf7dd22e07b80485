"""The replicated record store: each record has one writer and is stored on a write quorum.

A record is complete once a write quorum of its group has it on disk. A read asks a read quorum,
which shares a replica with every write quorum. There is no leader: operations that need an
order (token budgets) write a reservation first and read the others afterwards, see
:mod:`yarrowwall.budgets.reservations`.
"""
