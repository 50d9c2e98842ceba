"""The agent of a node: starts its process, supervises it, and replaces it with the release in the plan."""
