"""Carries the bench's wire to the decisions and back; decides nothing."""
