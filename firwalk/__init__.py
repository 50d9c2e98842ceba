"""firwalk: a dispatcher that pushes requests to executors."""
