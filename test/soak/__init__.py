"""A randomized soak of the programs that serve announced upstreams: real processes, faults from outside them."""
