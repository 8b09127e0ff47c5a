//go:build !race

package leases

const raceDetector = false
