"""Records of a run, the rules that they are checked against, and reports of the verdict."""
