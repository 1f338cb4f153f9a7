"""Wald's sequential test: does a task fail as a faulty one does, or as is usual at present? No clock, no I/O.

Evidence is the log-likelihood ratio of the two. Each failure or good answer adds the logarithm of the ratio
of its probabilities in the two cases.
"""

import math

EJECTION_EVIDENCE = 5.3  # ln 200: the odds at which a task is taken for faulty, one false alarm in 200 tests
MAX_GOOD_EVIDENCE = 2.0  # most evidence that good answers may build up against new failures
# Least evidence against a task that the list has dropped without a drain: one failure then suffices while at
# most 5% of calls fail as usual, two while at most 20% do.
UNLISTED_EVIDENCE = 3.0
FAULTY_FAILURE_SHARE = 0.5  # of a faulty task's calls; more where many fail everywhere, as in an overload
USUAL_SHARE_BOUNDS = (0.02, 0.8)  # so that no probability is near 0 or 1
COMMON_FAILURE_SHARE = 0.1  # of all calls: where more fail everywhere, so does a sound task
FAULTY_ANSWER_RATIO = 0.4  # of what others answer there: a faulty task answers no more


def update_evidence(evidence, failures, good, usual_share):
    """The evidence against a task after so many further failures and good answers.

    usual_share: the share of calls that fail as usual.
    """
    usual_share = min(max(usual_share, USUAL_SHARE_BOUNDS[0]), USUAL_SHARE_BOUNDS[1])
    faulty_share = FAULTY_FAILURE_SHARE
    if usual_share > COMMON_FAILURE_SHARE:
        faulty_share = max(faulty_share, FAULTY_ANSWER_RATIO * usual_share + (1 - FAULTY_ANSWER_RATIO))
    evidence += failures * math.log(faulty_share / usual_share) + good * math.log(
        (1 - faulty_share) / (1 - usual_share)
    )
    return min(max(evidence, -MAX_GOOD_EVIDENCE), 2 * EJECTION_EVIDENCE)
