"""Runs the command-line interface with `python -m marjoramvalve.cli`."""

from marjoramvalve.cli.main import main

main()
