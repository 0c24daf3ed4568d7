"""Files of the data folder."""
