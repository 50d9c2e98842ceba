"""Configuration files of nodes, operators and rollouts, validated completely before anything is applied."""
