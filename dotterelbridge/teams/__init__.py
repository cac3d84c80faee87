"""Teams that share the deployment: their keys, ranks and quotas."""
