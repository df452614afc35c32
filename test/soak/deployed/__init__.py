"""A soak of a deployment as `deploy/` describes it, which judges retry budgets and lost answers."""
