"""Adapter that runs Brains for an external simulator, by JSON lines on standard input and output.

"The simulator" is the external program that starts this one; the project's own simulations are in
garnetpaddle.rehearsal."""
