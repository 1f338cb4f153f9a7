"""Authorization: which follower may receive the advice of which route."""

SAFE_RETRIES = ("none", "on proof")


def refusal_reason(effect, retries, level, already_granted):
    """Returns why a follower may not receive a route's advice, or "" if it may.

    effect: "repeatable", "keyed" or "mutating"; an unknown value counts as mutating. retries: the follower's
    retry behaviour as declared by the operator: "none", "on proof" or "any". level: the snapshots.Level of
    the route. already_granted: whether the follower already has the group.

    Advice says where to send a call, not whether to retry it, so it cannot keep an external client from
    retrying. A route whose calls must not run twice is therefore granted only to a follower that is declared
    not to retry them. While the Brain allows no retries, a follower that would retry is not admitted; one
    that already has the group keeps it, because an empty group would leave its calls without a task."""
    if effect == "repeatable":
        return ""
    if retries not in SAFE_RETRIES:
        return (
            f"the route is {effect}, and the operator's file does not state that the follower never "
            "tries a call again that may have run"
        )
    if level.admitted <= 0 and not already_granted:
        return "nothing of the route is let in now"
    if effect != "keyed" and retries == "on proof" and level.retry_mode == "none" and not already_granted:
        return "no call of the route is tried again now, and the follower would"
    return ""
