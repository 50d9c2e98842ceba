"""Contracts of teams, and the ledger of what is spent on them at one node. No I/O."""
