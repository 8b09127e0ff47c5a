//go:build race

package leases

const raceDetector = true
