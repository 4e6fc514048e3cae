//go:build cgo

#include <signal.h>

// Ignores SIGHUP until the Go program catches it. Without this, a reload that is requested while the
// Go runtime starts would end the process.
__attribute__((constructor)) static void ignore_early_reload(void) { signal(SIGHUP, SIG_IGN); }
