// Package session contains golden-file tests of complete simulated sessions. The
// tests define the events and faults of each session, which run in virtual time.
// The golden files in testdata contain every decision of the load balancer that
// followed. After an intended change of a decision, run
// `go test ./internal/session -update` and review the difference.
package session
