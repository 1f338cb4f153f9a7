# The operator's own file: `garnetpaddle serve --operator deploy/operator.hcl`, or GARNET_OPERATOR=deploy/operator.hcl.
# Without it the program has no front ends but the platform's, and loads none of the libraries that they need.
# `garnetpaddle check --operator FILE CONFIG` says all that is wrong with both files, line by line.
# This example goes with examples/assigner.json: its routes are read and write.

limits { # of all front ends together; the platform's own channel has limits of its own and never waits for these
  connections = 64  # open at once; beyond it who has said nothing longest goes
  message_kib = 64  # longest message taken in
  unread_kib  = 256 # answers that one client may leave unread before it is closed
  members     = 1024 # that one client may register, in all its groups
}

# A group is a name under which clients ask for the advice of one route.
group "lookups" { route = "read" }
group "charges" { route = "write" }

# A follower is an outside load balancer. It joins, is bound and leaves like a proxy of the platform's.
follower "north-balancer" {
  uid              = "LB-NORTH-1"           # as SASP carries it; the follower's name where left out
  zone             = "north"
  calls_per_second = 40                     # that it usually spreads
  groups           = ["lookups", "charges"]
  retries          = "none"                 # "none", "on proof" (the first try surely never ran) or "any".
                                            # With "any" it gets no group of a mutating route: docs/advice.md
  takes            = "answers"              # what shows that it took an update: a message of its own after it
                                            # ("answers"), or its machine's TCP ("acknowledged")
}

follower "old-balancer" {
  calls_per_second = 5
  groups           = ["lookups"]
  takes            = "acknowledged" # a DFP manager never answers
}

# The group workload manager of RFC 4678 (SASP); 3860 is its registered port.
sasp {
  listen   = "127.0.0.1:3860"
  pace     = 1.0 # s between updates of weights to one client; drains wait for nothing
  interval = 5.0 # s between polls that pulling clients are told; shorter where the grace for drains needs it
}

# A DFP agent (draft-eck-dfp): one port for one follower's one group, since that wire names neither.
dfp "old" {
  listen     = "127.0.0.1:3870"
  follower   = "old-balancer"
  group      = "lookups"
  keep_alive = 5.0
  # key_id      = 1              # the MD5 key that manager and agent share; without it nothing is signed
  # secret_file = "/path/of/key"
}
