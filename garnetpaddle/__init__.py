"""garnetpaddle: a traffic director for a fleet of sidecars."""

__version__ = "0.2.0"
