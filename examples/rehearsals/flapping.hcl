# One node fails its calls, recovers, and fails again; another is slow meanwhile.
rehearsal { include = "saturday.hcl" }

trouble "first" {
  kind   = "errors"
  start  = 10
  end    = 16
  nodes  = ["harbour-large-2"]
  amount = 0.9
}
trouble "second" {
  kind   = "errors"
  start  = 22
  end    = 28
  nodes  = ["harbour-large-2"]
  amount = 0.9
}
trouble "third" {
  kind   = "errors"
  start  = 35
  end    = 41
  nodes  = ["harbour-large-2"]
  amount = 0.9
}
trouble "a slow one" {
  kind   = "slow"
  start  = 12
  end    = 45
  nodes  = ["market-large-1"]
  amount = 4
}
