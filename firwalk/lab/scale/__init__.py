"""What one node needs at the same traffic beside ever more executors (`firwalk lab scale`, `docs/lab.md`)."""
