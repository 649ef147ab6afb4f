"""Demo and benchmarks. Most run the product as processes on loopback."""
