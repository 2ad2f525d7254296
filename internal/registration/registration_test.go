package registration_test

import (
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/registration"
)

const heartbeat = 1500 * time.Millisecond

var begin = time.Unix(1000, 0)

func after(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func newBook() *registration.Book {
	return registration.NewBook(func() time.Duration { return heartbeat })
}

// server is a registration of server x by the process that was started at start.
func server(start, sequence uint64, draining bool) fleet.Server {
	return fleet.Server{ID: "x", Service: "svc", Address: "10.0.0.1:1", Incarnation: start, Sequence: sequence, Draining: draining}
}

// returned is a server whose row came back.
func returned(s fleet.Server, ms int) fleet.Server {
	s.ReturnedAt = after(ms)
	return s
}

func row(s fleet.Server) []registration.Row { return []registration.Row{{ID: s.ID, Server: s}} }

// superseded is the row of a late write.
func superseded(s, latest fleet.Server, removed bool) []registration.Row {
	return []registration.Row{{ID: s.ID, Server: s, Superseded: true, Latest: latest, LatestRemoved: removed}}
}

// Guards against an order of registrations in which a late write, or the row of an earlier process,
// counts as the latest state of the server.
func TestOlder(t *testing.T) {
	for _, c := range []struct {
		name string
		a, b fleet.Server
		want bool
	}{
		{"an earlier heartbeat", server(5, 3, false), server(5, 7, true), true},
		{"a later heartbeat", server(5, 8, true), server(5, 7, true), false},
		{"the same heartbeat", server(5, 7, false), server(5, 7, false), true},
		{"a heartbeat of an earlier process", server(4, 90, false), server(5, 1, false), true},
		{"a new process that counts anew", server(6, 1, false), server(5, 90, true), false},
		{"no sequence after one", server(5, 0, false), server(5, 7, false), true},
		{"no sequence at all", server(5, 0, false), server(5, 0, true), false},
	} {
		if got := registration.Older(c.a, c.b); got != c.want {
			t.Errorf("%s: Older is %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against late writes that change what is known of a server, and against new processes and live
// servers that are not used.
func TestUpdate(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps [][]registration.Row // one second apart
		// want is the server in use after the last step, with sequence 0 for none.
		want fleet.Server
	}{
		{"a late heartbeat takes draining back", [][]registration.Row{
			row(server(5, 6, true)), superseded(server(5, 3, false), server(5, 6, true), false),
		}, server(5, 6, true)},
		{"a late heartbeat after the removal", [][]registration.Row{
			row(server(5, 6, false)), nil, superseded(server(5, 3, false), server(5, 6, false), true),
		}, fleet.Server{}},
		{"a late heartbeat of an earlier process", [][]registration.Row{
			row(server(6, 1, false)), superseded(server(5, 9, true), server(6, 1, false), false),
		}, server(6, 1, false)},
		{"an expired row that its server writes again", [][]registration.Row{
			row(server(5, 6, false)), nil, row(server(5, 7, false)),
		}, returned(server(5, 7, false), 2000)},
		{"a new process after one that drained", [][]registration.Row{
			row(server(5, 6, true)), nil, row(server(6, 1, false)),
		}, server(6, 1, false)},
		{"a later entry of a process that drains", [][]registration.Row{
			row(server(5, 6, true)), nil, row(server(5, 7, false)),
		}, returned(server(5, 7, true), 2000)},
		{"a new process after one that returned", [][]registration.Row{
			row(server(5, 6, false)), nil, row(server(5, 7, false)), row(server(6, 1, false)),
		}, server(6, 1, false)},
		{"a row that has returned and stays", [][]registration.Row{
			row(server(5, 6, false)), nil, row(server(5, 7, false)), row(server(5, 8, false)), row(server(5, 9, false)),
			row(server(5, 9, false)), row(server(5, 10, false)), row(server(5, 11, false)), row(server(5, 11, false)), row(server(5, 12, false)),
		}, server(5, 12, false)},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBook()
			var got []fleet.Server
			for i, rows := range c.steps {
				got, _ = b.Update(after(1000*i), after(1000*i), rows, time.Time{})
			}
			switch {
			case c.want.Sequence == 0 && len(got) > 0:
				t.Errorf("servers %v in use, want none", got)
			case c.want.Sequence > 0 && (len(got) != 1 || got[0] != c.want):
				t.Errorf("servers %v in use, want %v", got, c.want)
			}
		})
	}
}

// Guards against a server that is never used again because the clock from which it takes its start was
// set back: its row would have expired if it did not write it.
func TestRowThatOutlivesItsExpiryIsUsed(t *testing.T) {
	b := newBook()
	b.Update(after(0), after(0), row(server(6, 1, false)), time.Time{})
	rows := superseded(server(5, 2, false), server(6, 1, false), true)
	got, _ := b.Update(after(1000), after(1000), rows, time.Time{})
	if len(got) != 0 {
		t.Fatalf("servers %v in use for a row that may be a late write, want none", got)
	}
	if !b.Pending() {
		t.Error("nothing is pending while a row is held back")
	}
	got, _ = b.Update(after(9000), after(6500), rows, time.Time{})
	if len(got) != 0 {
		t.Errorf("servers %v in use, but the copy is no later than the row may have expired; want none", got)
	}
	got, _ = b.Update(after(9000), after(7100), rows, time.Time{})
	if len(got) != 1 || got[0].Incarnation != 5 {
		t.Errorf("servers %v in use for a row that has been written for over four heartbeats, want that in the row", got)
	}
}

// Guards against servers with expired rows that stay in use after the grace period or a withdrawn
// outage, or are dropped before.
func TestLapsedServersStayUntilTheEndOfTheGracePeriod(t *testing.T) {
	b := newBook()
	b.Update(after(0), after(0), row(server(5, 1, false)), time.Time{})
	end := after(7200)
	for _, step := range []struct {
		ms       int
		lapseEnd time.Time
		want     int
	}{{5000, end, 1}, {7100, end, 1}, {7200, end, 0}} {
		if got, _ := b.Update(after(step.ms), after(5000), nil, step.lapseEnd); len(got) != step.want {
			t.Errorf("%d servers in use after %d ms, want %d", len(got), step.ms, step.want)
		}
	}
	b = newBook()
	b.Update(after(0), after(0), row(server(5, 1, false)), time.Time{})
	b.Update(after(5000), after(5000), nil, end)
	if got, _ := b.Update(after(5100), after(5000), nil, time.Time{}); len(got) != 0 {
		t.Errorf("servers %v in use although there was no outage, want none", got)
	}
	b = newBook()
	b.Update(after(0), after(0), row(server(5, 1, true)), time.Time{})
	if got, _ := b.Update(after(5000), after(5000), nil, end); len(got) != 0 {
		t.Errorf("servers %v in use, but the one without a row was draining; want none", got)
	}
}
