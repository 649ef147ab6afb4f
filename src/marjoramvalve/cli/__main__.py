"""Runs `marjoramvalve` as a module."""

from marjoramvalve.cli.main import main

main()
