"""What outside followers may be told, and when: decisions that every wire of weight advice shares. No I/O.
The Brain's lines as whole numbers; who may have which group; who has taken what by when; who follows.
Offers Sheets, advise and Entry (what is told), Feed (one client's discipline), Roll (followers), refusal."""

from garnetpaddle.advice.feed import Feed
from garnetpaddle.advice.rights import refusal
from garnetpaddle.advice.roll import Roll, Seat
from garnetpaddle.advice.scale import Scale
from garnetpaddle.advice.sheet import Entry, Member, Sheet, Sheets, advise

__all__ = ["Entry", "Feed", "Member", "Roll", "Scale", "Seat", "Sheet", "Sheets", "advise", "refusal"]
