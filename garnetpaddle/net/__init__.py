"""The assigner on sockets: transport alone. Every decision is garnetpaddle.brain's."""
