# A fifth of the nodes accept calls and never answer, while others restart cold.
rehearsal { include = "saturday.hcl" }

trouble "a fifth falls silent" {
  kind  = "silent"
  start = 15
  end   = 35
  share = 0.2
}
trouble "others restart" {
  kind  = "crash"
  start = 18
  end   = 21
  nodes = ["market-slow", "hills-small-1"]
  ramp  = 2
}
