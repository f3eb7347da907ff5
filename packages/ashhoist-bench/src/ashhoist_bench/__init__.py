"""Demo, load tool and benches of ashhoist."""
