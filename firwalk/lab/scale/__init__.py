"""Resource use of one node as the number of executors grows (`firwalk lab scale`, `docs/lab.md`)."""
