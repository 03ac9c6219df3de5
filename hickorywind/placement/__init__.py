"""Assignment of backend servers, groups and store watches to hosts, without communication."""
