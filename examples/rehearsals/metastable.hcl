# A short burst of traffic with client retries, which sustain the overload after the burst has ended.
rehearsal {
  include = "saturday.hcl"
  length  = 80
}
clients {
  rate  = 170
  again = 1
}
trouble "rush" {
  kind   = "rate"
  start  = 20
  end    = 28
  amount = 2.2
}
