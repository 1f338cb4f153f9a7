"""The assigner's network transport. All decisions are made by garnetpaddle.brain."""
