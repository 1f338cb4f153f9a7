"""Which follower may have the advice of which route."""

SAFE_RETRIES = ("none", "on proof")


def refusal_reason(effect, retries, level, already_granted):
    """Why a follower may not have a route's advice; "" where it may.

    effect: "repeatable", "keyed" or "mutating" (an unknown one counts as mutating). retries: what the
    operator states that the follower does with a call that failed: "none", "on proof" or "any". level: the
    Brain's book.Level of the route. standing: the follower has the group already.

    Advice says where a call may go, never whether it is sent again, so nothing here can keep an outside
    client from retrying. A route whose calls must not run twice is therefore given only to a follower that,
    by the operator's statement, does not retry them. While the Brain orders no retries, a follower that
    would retry is not admitted; one that has the group keeps it, as an empty group would leave its calls
    without a task.
    """
    if effect == "repeatable":
        return ""
    if retries not in SAFE_RETRIES:
        return (
            f"the route is {effect}, and the operator's file does not state that the follower never "
            "tries a call again that may have run"
        )
    if level.part <= 0 and not already_granted:
        return "nothing of the route is let in now"
    if effect != "keyed" and retries == "on proof" and level.tries == "none" and not already_granted:
        return "no call of the route is tried again now, and the follower would"
    return ""
