// Package architecture holds the rule of which package may import which, as a test.
// docs/design/packages.md draws the picture.
package architecture
