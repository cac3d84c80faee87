"""Records of the software version that began each resumable stream."""
