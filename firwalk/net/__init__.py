"""Network I/O of a node: clients, executors, discovery, other nodes and hot restart.

The decisions are made in `firwalk.dispatcher` and `firwalk.policy`.
"""
