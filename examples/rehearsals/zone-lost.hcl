# All nodes of one zone crash together and restart cold.
rehearsal { include = "saturday.hcl" }
clients { rate = 110 }

trouble "market is dark" {
  kind  = "crash"
  start = 15
  end   = 30
  zone  = "market"
}
