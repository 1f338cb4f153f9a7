"""Runs Brains for the simulator: JSON lines on standard input and output."""
