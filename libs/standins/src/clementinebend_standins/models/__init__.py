"""Pure models of the stand-ins: state and step functions, without I/O."""
