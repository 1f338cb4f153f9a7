"""Rehearsals: deterministic simulations of incidents, with the Brain or a baseline policy.

An HCL script defines nodes, proxies, clients and a timeline of troubles. read(path) returns a Script,
Simulation(script, seed).run() a Result; the rules are checked during the run."""

from garnetpaddle.rehearsal.result import Result
from garnetpaddle.rehearsal.script import Script, read
from garnetpaddle.rehearsal.simulation import Simulation

__all__ = ["Result", "Script", "Simulation", "read"]
