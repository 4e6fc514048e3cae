//go:build race

package bubble

// raceDetector reports whether the program is built with the race detector.
const raceDetector = true
