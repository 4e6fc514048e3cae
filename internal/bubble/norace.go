//go:build !race

package bubble

// raceDetector tells whether the race detector is built in.
const raceDetector = false
