# Most streams of the relay break at once while nodes drain.
rehearsal { include = "saturday.hcl" }

trouble "two drain" {
  kind  = "drain"
  start = 20
  end   = 30
  nodes = ["harbour-large-1", "hills-slow-2"]
}
trouble "streams break" {
  kind  = "streams"
  start = 20.5
  share = 0.8
}
