// Package fairshare divides room that is too little among the teams that ask for it.
//
// It answers the load of one team that asks several times its usual, or whose callers repeat at
// once, beside many teams that ask as always: first come, first served gives it the room of the
// others. Shares are weighted max-min: whoever asks for less than its share gets all of it, and what
// it leaves is divided among the others, so that no room stays idle. What a team got is remembered for
// a few seconds, so that a team that was left out goes first when room becomes free.
package fairshare

import (
	"math"
	"sync"
	"time"
)

// memory is the time constant with which what a team got is forgotten.
const memory = 2 * time.Second

// forgotten is the service time in seconds below which a team counts as one that got nothing.
const forgotten = 0.001

// Ledger records the service time that each team got at the servers of each service, from this
// VM and from others. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[account]*balance
}

type account struct{ service, team string }

type balance struct {
	at     time.Time
	own    float64 // service time in seconds that requests of this VM got, decayed
	others float64 // the same of the other VMs, as of their latest report
	weight float64 // 0 if not known
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{accounts: map[account]*balance{}} }

// Started records that a request of a team is sent to a server of a service, for which it needs
// the given service time.
func (l *Ledger) Started(now time.Time, service, team string, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.balance(now, service, team)
	b.own += work.Seconds()
}

// SetOthers records what the requests of a team at other VMs got, as Teams reports it there.
func (l *Ledger) SetOthers(now time.Time, service, team string, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balance(now, service, team).others = work.Seconds()
}

// SetWeight sets the weight of a team, for instance its usage limit. A team without one, or with
// 0, gets the mean of the others, or 1.
func (l *Ledger) SetWeight(now time.Time, service, team string, weight float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balance(now, service, team).weight = weight
}

// Shares are what the teams of a service got at all VMs as of a moment.
type Shares struct {
	used    map[string]float64
	weights map[string]float64
	mean    float64 // weight of a team without one
	level   float64
}

// Shares returns the present shares of a service.
func (l *Ledger) Shares(now time.Time, service string) Shares {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Shares{used: map[string]float64{}, weights: map[string]float64{}, mean: 1}
	sum, n := 0.0, 0
	for key := range l.accounts {
		if key.service != service {
			continue
		}
		b := l.balance(now, service, key.team)
		out.used[key.team], out.weights[key.team] = b.own+b.others, b.weight
		if b.weight > 0 {
			sum, n = sum+b.weight, n+1
		}
	}
	if n > 0 {
		out.mean = sum / float64(n)
	}
	total, weights := 0.0, 0.0
	for team, used := range out.used {
		if used >= forgotten {
			total, weights = total+used, weights+out.Weight(team)
		}
	}
	if weights > 0 {
		out.level = total / weights
	}
	return out
}

// Weight returns the weight of a team.
func (s Shares) Weight(team string) float64 {
	if w := s.weights[team]; w > 0 {
		return w
	}
	return s.mean
}

// Used returns what a team got, in seconds of service time for each unit of its weight. The team
// with the lowest value is the next to get room.
func (s Shares) Used(team string) float64 { return s.used[team] / s.Weight(team) }

// Level returns what all teams that got anything lately got, for each unit of their weights.
func (s Shares) Level() float64 { return s.level }

// Teams calls f with what each team got at this VM in the latest seconds. A team that got nothing
// is reported once more with 0 and then dropped.
func (l *Ledger) Teams(now time.Time, f func(service, team string, own time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.accounts {
		b := l.balance(now, key.service, key.team)
		if b.own < forgotten && b.others < forgotten {
			delete(l.accounts, key)
			f(key.service, key.team, 0)
			continue
		}
		f(key.service, key.team, time.Duration(b.own*float64(time.Second)))
	}
}

// balance returns the balance of an account as of now. The caller must hold mu.
func (l *Ledger) balance(now time.Time, service, team string) *balance {
	key := account{service, team}
	b, ok := l.accounts[key]
	if !ok {
		b = &balance{at: now}
		l.accounts[key] = b
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / memory.Seconds())
		b.own, b.others, b.at = b.own*decay, b.others*decay, now
	}
	return b
}
