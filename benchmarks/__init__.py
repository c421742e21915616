"""Benchmarks, run by hand; they report ratios within one run and set no limits for tests."""
