"""Test harnesses: multi-process runs under fault injection, and simulations of the cluster in virtual time.

No module of the serving path imports this package.
"""
