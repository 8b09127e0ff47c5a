//go:build race

package main

// raceDetector reports that the race detector is on, which distorts memory and time measurements.
const raceDetector = true
