//go:build !race

package expertmap

const raceDetector = false
