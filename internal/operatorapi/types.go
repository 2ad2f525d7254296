package operatorapi

import (
	"context"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/rollout"
)

// Configuration reads and changes the configuration. *rollout.Syncer implements it.
// All methods may be called concurrently.
type Configuration interface {
	// Current returns the configuration in force at this VM, nil if there is none.
	Current() *inventory.Snapshot
	// Apply makes document the version after base. It returns base without a
	// change if the document is the same as that of base. The error is an
	// *inventory.FaultsError, a *rollout.ConflictError, or wraps
	// rollout.ErrStoreUnavailable or rollout.ErrOutcomeUnknown.
	Apply(ctx context.Context, base uint64, document []byte) (version uint64, err error)
	// Refresh reads the newest version from the store and puts it in force. The
	// error is that of the store.
	Refresh(ctx context.Context) error
	// QueryVMs asks all VMs for their version and compares it with version.
	QueryVMs(ctx context.Context, version uint64) []rollout.VMReport
	// ConfirmedAge returns the time since this VM learned that its version is
	// the highest accepted one. ok is false if the age exceeds
	// rollout.MaxConfirmedAge or this VM has no version.
	ConfirmedAge(now time.Time) (age time.Duration, ok bool)
}

// Process is the part of the daemon that operators can see and control. All methods
// may be called concurrently.
type Process interface {
	// Drain starts a graceful shutdown and returns at once. Later calls have no
	// effect.
	Drain()
	// Status returns the status of this VM.
	Status(now time.Time) ProcessStatus
	// Targets returns the targets of the pools that this VM holds.
	Targets(now time.Time) []Target
	// Holders returns the holders of the pools of the region of this VM.
	Holders(now time.Time) []Holder
	// Dump returns the whole state as a value for encoding/json. It contains no
	// part of a request.
	Dump(now time.Time) any
}

// ProcessStatus is the status of this VM, apart from the configuration.
type ProcessStatus struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Ready is false while callers must not send calls to the VM. NotReady then
	// has the reasons.
	Ready    bool     `json:"ready"`
	NotReady []string `json:"not_ready,omitempty"`
	Draining bool     `json:"draining"`
	// LeaseMode states what this VM may send as a holder:
	//
	//   - valid: everything, since its lease is valid
	//   - full: everything although the lease has expired, since the store is
	//     unreachable and a majority of the registered VMs of the region confirms
	//     that
	//   - reduced: half of the slots of warm targets, and no warm-up step
	//   - lost: nothing new
	//
	// Package lease defines these modes.
	LeaseMode      string `json:"lease_mode"`
	StoreReachable bool   `json:"store_reachable"`
	CallsInFlight  int    `json:"calls_in_flight"`
}

// Target is the state of a target at the holder of its pool.
type Target struct {
	Service       string  `json:"service"`
	FailureDomain string  `json:"failure_domain"`
	Name          string  `json:"name"`
	Address       string  `json:"address"`
	Holder        string  `json:"holder"`
	Slots         int     `json:"slots"`
	Limit         int     `json:"limit"` // calls that may be in flight at present
	InFlight      int     `json:"in_flight"`
	State         string  `json:"state"`               // warm, cold, ejected or leaving
	Cause         string  `json:"cause,omitempty"`     // why the target is cold
	Rate          float64 `json:"rate,omitempty"`      // calls/s, 0: not limited
	BaselineMs    float64 `json:"baseline_ms"`         // smoothed latency
	Failures      int     `json:"failures"`            // number of consecutive failed calls
	PausedMs      float64 `json:"paused_ms,omitempty"` // time until the target gets calls again, 0: not paused
	Instance      string  `json:"instance,omitempty"`  // process of the target, as named in its last answer
}

// Holder is the holder of a pool.
type Holder struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Holder        string `json:"holder,omitempty"`   // VM ID, empty: no VM holds the pool
	Epoch         uint64 `json:"epoch"`              // number of the assignment of the pool, higher for each later holder
	Handover      bool   `json:"handover,omitempty"` // not set by entry VMs
	Free          int    `json:"free"`
	Waiting       int    `json:"waiting"`
}

// VM is what one VM reports about its configuration version. The report compares it
// with the version that a status request asks for or that a change has made.
type VM struct {
	ID            string `json:"id"`
	Region        string `json:"region,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Address       string `json:"address"`
	// State is in-force if the VM reports that version or a higher one,
	// not-confirmed if it reports a lower one, and not-heard if it does not
	// respond. It does not depend on Confirmed.
	State   string `json:"state"`
	Version uint64 `json:"version,omitempty"` // that the VM reports, 0: none or not heard
	// Confirmed is true if the VM learned within the last 5 s that its own version
	// is the highest accepted one. AgeMs is the time since it last learned this.
	Confirmed bool  `json:"confirmed"`
	AgeMs     int64 `json:"age_ms"`
	Leaving   bool  `json:"leaving,omitempty"`
}

// Applied is the result of an accepted change.
type Applied struct {
	Version  uint64            `json:"version"`
	Changed  bool              `json:"changed"` // false: the configuration had this content already
	Warnings []inventory.Fault `json:"warnings,omitempty"`
	VMs      []VM              `json:"vms"`
}

// Checked is the result of a check of a valid document.
type Checked struct {
	Base     uint64             `json:"base"` // version that the document was compared with
	Warnings []inventory.Fault  `json:"warnings,omitempty"`
	Changes  []inventory.Change `json:"changes,omitempty"`
}

// Status is the status of this VM and the configuration version of all VMs.
type Status struct {
	ProcessStatus
	Version      uint64   `json:"version"` // in force at this VM, 0: none
	Confirmed    bool     `json:"confirmed"`
	AgeMs        int64    `json:"age_ms"`
	OutOfService []string `json:"out_of_service"`
	VMs          []VM     `json:"vms"`
}

// Document is the configuration in force.
type Document struct {
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"`   // SHA-256 of the canonical text, see inventory.Encode
	Document string `json:"document"` // YAML with all defaults, without comments
}

// Problem is the body of an error response.
type Problem struct {
	Status int    `json:"status"`
	Title  string `json:"title"`
	Detail string `json:"detail,omitempty"`
	// Faults of a rejected document, with their lines.
	Faults []inventory.Fault `json:"faults,omitempty"`
	// CurrentVersion is the highest accepted version. It is set on a conflict.
	CurrentVersion uint64 `json:"current_version,omitempty"`
	// Uncertain is true if the change may have been accepted. If it is false, a
	// failed change has had no effect.
	Uncertain bool `json:"uncertain,omitempty"`
}

// Error implements the error interface.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// GetStatus returns the HTTP status. It implements huma.StatusError.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType returns the media type of RFC 9457 for JSON.
func (p *Problem) ContentType(string) string { return "application/problem+json" }
