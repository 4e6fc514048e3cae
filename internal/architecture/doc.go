// Package architecture contains tests of the source's structure: which packages may
// import which, and that property tests have a fixed seed. docs/design/packages.md
// shows the packages and their parts.
package architecture
