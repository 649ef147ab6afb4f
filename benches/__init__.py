"""Demo and benches: real processes on loopback."""
