//go:build race

package main

// raceDetector says that memory figures are not the program's own.
const raceDetector = true
