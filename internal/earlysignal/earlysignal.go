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

// Each channel has room for one signal, because further ones ask for the same. Signals of one kind can't use up the room
// of the other.
var (
	stops   = make(chan os.Signal, 1)
	reloads = make(chan os.Signal, 1)
)

func init() {
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloads, syscall.SIGHUP)
	// A write to a standard output or error whose reader has gone then returns an error, and doesn't end the program.
	signal.Ignore(syscall.SIGPIPE)
}

// Stops returns the channel of the signals SIGTERM and interrupt.
func Stops() <-chan os.Signal { return stops }

// Reloads returns the channel of the signal SIGHUP.
func Reloads() <-chan os.Signal { return reloads }

// exitHangup is the exit code of a command that SIGHUP ends, by the convention of shells.
const exitHangup = 128 + int(syscall.SIGHUP)

// Release restores the usual effects of the signals, for commands that aren't daemons. SIGHUP, which the program ignored
// before it was initialized, stays ignored by default, so its usual effect is imitated.
func Release() {
	signal.Stop(stops)
	signal.Reset(syscall.SIGPIPE)
	go func() {
		<-reloads
		os.Exit(exitHangup)
	}()
}
