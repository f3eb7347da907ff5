"""The control task of an instance: what is in force, who is there, who orders."""
