"""Stand-ins at the interfaces, for tests, the demo and the benches."""
