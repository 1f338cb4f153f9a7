# Other programs take most of the CPU of a third of the nodes; some nodes pause now and then.
rehearsal { include = "saturday.hcl" }

trouble "neighbour" {
  kind   = "stolen"
  start  = 12
  end    = 40
  share  = 0.33
  amount = 0.6
}
trouble "pauses" {
  kind  = "pause"
  start = 18
  end   = 19.5
  nodes = ["hills-small"]
}
trouble "pauses again" {
  kind  = "pause"
  start = 26
  end   = 27.5
  nodes = ["hills-small"]
}
