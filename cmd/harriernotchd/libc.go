package main

// The platform requires programs that are linked against the system's C library.
// Importing "C" does this. Without cgo this file is excluded from the build, and the
// program still works on other platforms.

import "C"
