"""Configuration files, validated as a whole before anything is applied: nodes', operators', rollouts'."""
