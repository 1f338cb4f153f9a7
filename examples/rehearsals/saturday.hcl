# A busy Saturday without troubles, the base of the other scripts: three zones, kinds of nodes and routes.
# The load keeps the cores about two thirds busy.
rehearsal {
  length = 60
  seed   = 7
}

zone "harbour" { proxies = 4 }
zone "market" { proxies = 4 }
zone "hills" { proxies = 3 }

route "bag-status" {
  share = 0.43
  work  = 0.2 # s on a core of speed 1
  slo   = 1.2
  limit = 4
}
route "bag-scan" {
  share      = 0.4
  work       = 0.2
  slo        = 1.5
  limit      = 4
  importance = 2
}
route "charge-post" {
  share      = 0.17
  work       = 0.3
  slo        = 2
  limit      = 5
  importance = 5
  effect     = "mutating"
}

kind "large" {
  cores = 4
  speed = 1.5
}
kind "small" {
  cores = 2
  speed = 1.0
}
kind "slow" {
  cores = 3
  speed = 0.6
}

nodes "harbour-large" {
  kind  = "large"
  zone  = "harbour"
  count = 3
}
nodes "market-large" {
  kind  = "large"
  zone  = "market"
  count = 3
}
nodes "harbour-small" {
  kind  = "small"
  zone  = "harbour"
  count = 2
}
nodes "hills-small" {
  kind  = "small"
  zone  = "hills"
  count = 4
}
nodes "market-slow" {
  kind  = "slow"
  zone  = "market"
  count = 3
}
nodes "hills-slow" {
  kind  = "slow"
  zone  = "hills"
  count = 2
}

clients {
  rate   = 150
  curve  = [0.8, 1.0, 1.1, 1.0]
  again  = 0.5
  uneven = 2
}
