# Two troubles overlap on the same nodes and the later one ends first: some slow nodes stop answering.
rehearsal { include = "saturday.hcl" }

trouble "slow disks" {
  kind   = "slow"
  start  = 10
  end    = 40
  nodes  = ["hills-small"]
  amount = 3
}
trouble "no answers" {
  kind  = "silent"
  start = 18
  end   = 28
  nodes = ["hills-small-1", "hills-small-2"]
}
trouble "reports late" {
  kind   = "reports_late"
  start  = 16
  end    = 32
  amount = 2.5
}
