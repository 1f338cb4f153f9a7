# The assigner is killed while a node is slow, and restarts while reports arrive late.
rehearsal { include = "saturday.hcl" }

trouble "slow" {
  kind   = "slow"
  start  = 10
  end    = 50
  nodes  = ["harbour-large-3"]
  amount = 5
}
trouble "killed" {
  kind  = "killed"
  start = 20
  end   = 26
}
trouble "reports late" {
  kind   = "reports_late"
  start  = 24
  end    = 36
  amount = 2
}
