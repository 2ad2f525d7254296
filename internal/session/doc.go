// Package session holds golden files of whole sessions: scripted events and
// faults in virtual time, and every decision that followed. The scripts are in
// the tests, the decisions in testdata. After an intended change of a decision
// run `go test ./internal/session -update` and read the difference.
package session
