package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/quota"
)

var begin = time.Unix(1000, 0)

// process is one run of a VM in the simulation.
type process struct {
	group   int // VMs of a group hear each other
	started int // step
	duty    *quota.ProbeAssignment
	sent    []int
}

func (p *process) within(step, second int) (n int) {
	for _, at := range p.sent {
		if at > step-second {
			n++
		}
	}
	return n
}

// Guards against more requests to a cold server than it bears, summed over VMs
// with different memberships that are killed, start again and split at any
// moment. Without the wait after a change of the measurer, three processes spent
// their shares within a second (fault soak, seeds 303 and 306).
func TestColdServersBearWhatAllVMsSend(t *testing.T) {
	const (
		step   = 10 * time.Millisecond
		second = int(time.Second / step)
		steps  = 20 * second
		lag    = 70 // steps until VMs notice that another is gone
	)
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // no secret
		w := quota.Warmup{Rate: 1 + 20*rng.Float64(), Factor: 1.5, Slack: 5}
		vms := make([]*process, 1+rng.IntN(12))
		for i := range vms {
			vms[i] = &process{started: -second}
		}
		groups := make([]int, len(vms)) // as they will be noticed
		noticed := 0
		var all []int
		for now := range steps {
			if rng.IntN(second/2) == 0 { // a VM is killed and starts again
				i := rng.IntN(len(vms))
				vms[i] = &process{group: vms[i].group, started: now}
			}
			if rng.IntN(3*second) == 0 { // links break or heal
				for i := range groups {
					groups[i] = rng.IntN(3)
				}
				noticed = now + lag
			}
			if now == noticed {
				for i, p := range vms {
					p.group = groups[i]
				}
			}
			first := map[int]int{} // measurer by group: the first VM that is not new
			heard := map[int]int{}
			for i, p := range vms {
				heard[p.group]++
				if _, ok := first[p.group]; !ok && now-p.started > lag/2 {
					first[p.group] = i
				}
			}
			for i, p := range vms {
				measurer, ok := first[p.group]
				measures := ok && measurer == i
				at := begin.Add(time.Duration(now) * step)
				group := quota.Group{Alive: heard[p.group], Registered: len(vms)}
				switch {
				case !measures:
					p.duty = nil
				case p.duty == nil:
					p.duty = quota.NewProbeAssignment(at, group, false)
				default:
					p.duty.Update(at, group)
				}
				share := quota.RequestsPerSecond(at, w, quota.SenderState{
					Known: ok, Cold: true, ProbeAssignment: p.duty,
					MaySendUnmeasured: i < quota.UnmeasuredSenders && now-p.started >= second,
				})
				for p.within(now, second) < share {
					p.sent = append(p.sent, now)
					all = append(all, now)
				}
			}
			n := 0
			for _, at := range all {
				if at > now-second {
					n++
				}
			}
			if limit := w.Rate*w.Factor + w.Slack; float64(n) > limit {
				t.Fatalf("seed %d: %d requests within a second at %v, %.1f allowed", seed, n, time.Duration(now)*step, limit)
			}
		}
	}
}

// Guards against shares of groups that are more than the whole together.
func TestPartsOfDisjointGroupsAreAtMostTheWhole(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // no secret
		registered := 1 + rng.IntN(140)
		sum := 0.0
		for left := registered; left > 0; {
			heard := 1 + rng.IntN(left)
			left -= heard
			sum += quota.Group{Alive: heard, Registered: registered}.Part()
		}
		if sum > 1+1e-9 {
			t.Fatalf("seed %d: %v of the limit", seed, sum)
		}
	}
}

// Guards against cold servers that get no work at all: they would stay unused
// for as long as they are cold.
func TestTheMeasurerOfAColdServerUsesIt(t *testing.T) {
	w := quota.Warmup{Rate: 6.5, Factor: 1.5, Slack: 5}
	group := quota.Group{Alive: 4, Registered: 4}
	for _, first := range []bool{true, false} {
		duty := quota.NewProbeAssignment(begin, group, first)
		now := begin
		if !first {
			now = begin.Add(time.Second)
		}
		if got := quota.RequestsPerSecond(now, w, quota.SenderState{Known: true, Cold: true, ProbeAssignment: duty}); got < 6 {
			t.Errorf("%d requests/s to a server that bears 6.5, first %v", got, first)
		}
	}
}
