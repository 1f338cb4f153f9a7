# All processes restart within a few seconds (a bad release, rolled back): at first, all nodes are cold.
rehearsal { include = "saturday.hcl" }
clients { rate = 90 }

trouble "restart" {
  kind  = "crash"
  start = 15
  end   = 18
  share = 1
}
