"""The daemon: one process that is a node, and a controller where it has a data folder."""

from marjoramvalve.daemon.nodes import Node

__all__ = ["Node"]
