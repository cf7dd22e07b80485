"""The replicated log of each program, written with Paxos."""
