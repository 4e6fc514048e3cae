package main

// The platform needs programs that are linked against the system's C library.
// Without cgo this file is left out, and the program still works elsewhere.

import "C"
