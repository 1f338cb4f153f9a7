# A planned release replaces most nodes in batches while clients call more than usual.
rehearsal { include = "saturday.hcl" }

trouble "release" {
  kind   = "release"
  start  = 10
  end    = 45
  share  = 0.8
  amount = 0.15
}
trouble "conference" {
  kind   = "rate"
  start  = 20
  end    = 40
  amount = 1.15
}
