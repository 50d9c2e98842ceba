"""firwalk: a dispatcher that pushes tasks to executors."""
