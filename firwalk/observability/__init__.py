"""Observability of a node: log lines, events, and run-time checks of the guarantees on requests."""
