package outage_test

import (
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/outage"
)

const grace = 2200 * time.Millisecond

var begin = time.Unix(1000, 0)

func after(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// unbroken is the history of reads from one time to another.
func unbroken(from, to int) outage.History {
	return outage.History{AsOf: after(to), Since: after(from)}
}

func afterOutage(from, to int) outage.History {
	h := unbroken(from, to)
	h.AfterOutage = true
	return h
}

// Guards against failures of this VM or its connections that count as an outage of the store, and
// against outages that do not count.
func TestShowsOutage(t *testing.T) {
	const timeout = 900 * time.Millisecond
	for _, c := range []struct {
		name string
		read outage.FailedRead
		want bool
	}{
		{"the store says that it is unavailable", outage.FailedRead{Refused: true}, true},
		{"a kept connection is silent", outage.FailedRead{Took: timeout}, false},
		{"a kept connection is silent again", outage.FailedRead{Repeated: true, Took: timeout}, false},
		{"a connection went silent right after it was opened", outage.FailedRead{NewConnection: true, Took: timeout}, false},
		{"a new connection after a failure is silent", outage.FailedRead{NewConnection: true, Repeated: true, Took: timeout}, true},
		{"this VM was paused", outage.FailedRead{NewConnection: true, Repeated: true, Took: 4 * time.Second}, false},
	} {
		c.read.Timeout = timeout
		if got := c.read.ShowsOutage(); got != c.want {
			t.Errorf("%s: ShowsOutage is %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against silence of this VM, or of its relay, that counts as an outage of the store, and
// against an outage that a VM overlooks because its relay has noticed it first.
func TestJoin(t *testing.T) {
	for _, c := range []struct {
		name     string
		known, o outage.History
		failedAt time.Time
		want     outage.History
	}{
		{"the first read", outage.History{}, unbroken(500, 500), time.Time{}, unbroken(500, 500)},
		{"a read in time", unbroken(0, 1000), unbroken(1800, 1800), after(1500), unbroken(0, 1800)},
		{"a gap in which no read failed", unbroken(0, 1000), unbroken(4000, 4000), time.Time{}, unbroken(4000, 4000)},
		{"a gap after a failed read", unbroken(0, 1000), unbroken(4000, 4000), after(900), unbroken(4000, 4000)},
		{"a gap with a failed read", unbroken(0, 1000), unbroken(4000, 4000), after(2000), afterOutage(4000, 4000)},
		{"a sibling that has noticed the outage", unbroken(0, 1000), afterOutage(4000, 4300), time.Time{}, afterOutage(4000, 4300)},
		{"a sibling that has read throughout", unbroken(0, 1000), unbroken(200, 4300), after(2000), unbroken(0, 4300)},
		{"a sibling that has read throughout, after the gap", afterOutage(4000, 4500), unbroken(200, 4300), after(2000), unbroken(200, 4500)},
		{"an old message of a sibling", afterOutage(4000, 4500), unbroken(200, 1500), after(2000), afterOutage(4000, 4500)},
		{"a sibling that has seen an earlier outage", unbroken(5000, 6000), afterOutage(4000, 5500), time.Time{}, afterOutage(4000, 6000)},
	} {
		if got := c.known.Join(c.o, c.failedAt); got != c.want {
			t.Errorf("%s: joined history is %v to %v, after an outage: %v; want %v to %v, %v", c.name, got.Since.Sub(begin), got.AsOf.Sub(begin),
				got.AfterOutage, c.want.Since.Sub(begin), c.want.AsOf.Sub(begin), c.want.AfterOutage)
		}
	}
}

// Guards against servers without a row that stay in use for ever after an outage, after a gap without
// one, or once the outage has turned out to be none.
func TestWatch(t *testing.T) {
	type step struct {
		h      outage.History
		until  time.Time
		change outage.Change
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"a process that starts after an outage", []step{{afterOutage(4000, 4000), time.Time{}, outage.Unchanged}, {afterOutage(4000, 9000), time.Time{}, outage.Unchanged}}},
		{"a gap without an outage", []step{{unbroken(0, 1000), time.Time{}, outage.Unchanged}, {unbroken(4000, 4000), time.Time{}, outage.Unchanged}}},
		{"an outage", []step{
			{unbroken(0, 1000), time.Time{}, outage.Unchanged},
			{afterOutage(4000, 4000), after(6200), outage.Began},
			{afterOutage(3998, 5000), after(6200), outage.Unchanged}, // a message that was on the way for a shorter time
		}},
		{"a supposed outage", []step{
			{unbroken(0, 1000), time.Time{}, outage.Unchanged},
			{afterOutage(4000, 4000), after(6200), outage.Began},
			{unbroken(0, 4300), time.Time{}, outage.Withdrawn},
			{unbroken(0, 5000), time.Time{}, outage.Unchanged},
		}},
		{"two outages", []step{
			{unbroken(0, 1000), time.Time{}, outage.Unchanged},
			{afterOutage(4000, 4000), after(6200), outage.Began},
			{afterOutage(9000, 9000), after(11200), outage.Began},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w outage.Watch
			for i, s := range c.steps {
				until, change := w.Update(s.h, grace)
				if !until.Equal(s.until) || change != s.change {
					t.Errorf("step %d: until %v, change %d; want until %v, change %d", i, until.Sub(begin), change, s.until.Sub(begin), s.change)
				}
			}
		})
	}
}
