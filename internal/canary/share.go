package canary

import (
	"strconv"
	"strings"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/counts"
)

// Parts of the names of subjects. The name is the service, the row of the order, one of these, and
// for counts of answers the route.
const (
	subjectTarget  = "target"
	subjectPresent = "present"
	subjectVMs     = "vms"
	separator      = "\x00"
)

func subject(r *rollout, part, route string) counts.Subject {
	name := strings.Join([]string{r.order.Service, strconv.FormatUint(r.order.Row, 10), part, route}, separator)
	return counts.Subject{Kind: counts.Version, Name: name}
}

// publish replaces the counts of this VM on the board. The caller must hold mu.
func (t *Tracker) publish(r *rollout) {
	put := func(s counts.Subject, v counts.Values) {
		t.board.Publish(s, v)
		r.published[s] = true
	}
	for k, tally := range r.own {
		part := subjectPresent
		if k.toTarget {
			part = subjectTarget
		}
		put(subject(r, part, k.route), counts.Values{tally.Answers, tally.Failures, tally.Timed, tally.Slow})
	}
	moved := uint32(0)
	if r.moved {
		moved = 1
	}
	put(subject(r, subjectVMs, ""), counts.Values{moved})
}

// collect returns the counts of all VMs and the age of the oldest. The caller must hold mu.
func (t *Tracker) collect(now time.Time, r *rollout) (Evidence, time.Duration) {
	out := Evidence{}
	age := time.Duration(0)
	prefix := subject(r, "", "").Name
	prefix = strings.TrimSuffix(prefix, separator+separator) + separator
	for _, s := range t.board.Subjects(counts.Version) {
		rest, ok := strings.CutPrefix(s.Name, prefix)
		if !ok {
			continue
		}
		part, route, ok := strings.Cut(rest, separator)
		if !ok || part == subjectVMs || len(out) > maxRoutes {
			continue
		}
		others := t.board.Others(s, now)
		age = max(age, others.Age)
		c := out[route]
		for _, v := range []counts.Values{others.Values, t.board.Own(s)} {
			tally := Tally{Answers: v.At(0), Failures: v.At(1), Timed: v.At(2), Slow: v.At(3)}
			if part == subjectTarget {
				c.Target = c.Target.plus(tally)
			} else {
				c.Present = c.Present.plus(tally)
			}
		}
		out[route] = c
	}
	return out, age
}

// movedVMs returns the number of VMs that no longer use the present version. The caller must hold
// mu.
func (t *Tracker) movedVMs(now time.Time, r *rollout) int {
	s := subject(r, subjectVMs, "")
	return int(t.board.Others(s, now).Values.At(0) + t.board.Own(s).At(0))
}
