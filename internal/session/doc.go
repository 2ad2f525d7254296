// Package session contains golden-file tests of the load balancer. A session is a
// complete run of package simulation in virtual time; it has nothing to do with
// sessions of HTTP or of users. Each session follows a scenario, which schedules
// calls and faults. The golden files in testdata, named after the scenarios, contain
// every decision of the load balancer that followed. After an intended change of a
// decision, run `go test ./internal/session -update` and review the difference.
package session
