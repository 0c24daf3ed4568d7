"""HTTP by cheroot and urllib3."""
