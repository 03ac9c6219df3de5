"""Load and fault experiments, and checks of recorded histories against hickorywind's guarantees."""
