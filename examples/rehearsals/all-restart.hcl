# Every process restarts within a few seconds (a bad release, rolled back): cold nodes alone, then warm.
rehearsal { include = "saturday.hcl" }
clients { rate = 90 }

trouble "restart" {
  kind  = "crash"
  start = 15
  end   = 18
  share = 1
}
