"""garnetpaddle: a traffic director for a fleet of sidecars."""
