"""Runs `marjoramvalved` as a module."""

from marjoramvalve.daemon.main import main

main()
