"""Settings in INI files."""
