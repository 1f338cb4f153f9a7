"""Fault injection for a fleet of assigners: seeded days, a model of the platform, a judge of the rules.

The days are played by the Brain in process on a virtual clock, or by processes of `serve` over loopback."""
