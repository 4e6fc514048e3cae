// Package earlysignal catches signals from the initialization of the program on. A daemon that catches them later can be
// ended by a signal that asks for something else, such as SIGHUP, while it starts.
//
// The package has few imports, so that it is initialized before most others. Only the daemon's main package may import
// it, because a program that imports it no longer ends with the signals.
package earlysignal

import (
	"os"
	"os/signal"
	"syscall"
)

// queueLength is the number of signals that can wait for their receiver. More than one of a kind are as good as one.
const queueLength = 16

var received = make(chan os.Signal, queueLength)

func init() {
	signal.Notify(received, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
	// A write to a standard output or error whose reader has gone then returns an error, and doesn't end the program.
	signal.Ignore(syscall.SIGPIPE)
}

// Received returns the channel of the signals SIGHUP, SIGTERM and interrupt.
func Received() <-chan os.Signal { return received }

// Release restores the usual effects of the signals, for commands that aren't daemons.
func Release() {
	signal.Stop(received)
	signal.Reset(syscall.SIGPIPE)
}
