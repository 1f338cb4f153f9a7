# The task list omits a third of the nodes that serve; later its updates arrive late for a while.
rehearsal { include = "saturday.hcl" }
clients { rate = 110 }

trouble "dropped" {
  kind  = "list_wrong"
  start = 15
  end   = 30
  share = 0.33
}
trouble "late" {
  kind   = "list_late"
  start  = 28
  end    = 45
  amount = 4
}
trouble "one dies meanwhile" {
  kind  = "crash"
  start = 32
  end   = 36
  nodes = ["harbour-large-1"]
}
