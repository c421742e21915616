"""Measurements, run by hand: ratios within one run, never limits of a test."""
