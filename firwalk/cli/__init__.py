"""Command line built on typer; `python -m firwalk` doesn't import it."""
