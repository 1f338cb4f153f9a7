# For examples/balancer.py and `garnetpaddle advice watch`; deploy/operator.hcl explains every field.
group "lookups" { route = "read" }

follower "toy-balancer" {
  calls_per_second = 100
  groups           = ["lookups"]
  retries          = "none"
}

follower "watch" { # for: garnetpaddle advice watch 127.0.0.1:3860 --group lookups --discovery 127.0.0.1:7100
  calls_per_second = 0.1
  groups           = ["lookups"]
}

sasp { listen = "127.0.0.1:3860" }
