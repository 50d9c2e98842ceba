"""Cluster coordination without I/O: membership, leader election by a lease, and the plan that nodes follow.

Design: `docs/cluster.md`.
"""
