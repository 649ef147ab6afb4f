"""The daemon: a process that runs a node, and a controller if it has a data folder."""

from marjoramvalve.daemon.nodes import Node

__all__ = ["Node"]
