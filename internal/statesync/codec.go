package statesync

import (
	"math"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/outage"
	"goldcresthinge.example/goldcresthinge/internal/replica"
)

// percentScale converts a slowdown factor to percent, the unit used in messages.
const percentScale = 100

// encodeReading converts r to a message. number stands for the server on this stream.
// Times are sent relative to now, because VMs do not share a clock.
func encodeReading(now time.Time, number uint32, r fleet.Reading) *siblingpb.ServerReading {
	return &siblingpb.ServerReading{
		Number: number, AgeMs: ageMs(now, r.At), Health: uint32(r.Health),
		Running: clamp(r.Load.Running), Waiting: clamp(r.Load.Waiting), Slots: clamp(r.Load.Slots),
		SlowdownPercent: clamp(int(math.Round(r.Load.Slowdown * percentScale))),
		ColdMs:          clamp(int(r.ColdFor.Milliseconds())), Misses: clamp(r.Misses),
		ValidUs: clamp(int(timeToNextChange(now, r).Microseconds())), PeriodUs: clamp(int(r.Period.Microseconds())),
	}
}

// timeToNextChange returns the time from now until the next expected change of
// speed. It is negative if ValidUntil has passed and no period is known.
func timeToNextChange(now time.Time, r fleet.Reading) time.Duration {
	remaining := r.ValidUntil.Sub(now)
	if r.Period > 0 && remaining < 0 {
		remaining = r.Period - (-remaining)%r.Period
	}
	return remaining
}

// decodeReading converts a message that was received from source at now. An unknown
// health value is decoded as fleet.Unmeasured.
func decodeReading(now time.Time, m *siblingpb.ServerReading, source string) fleet.Reading {
	health := fleet.Unmeasured
	if h := m.GetHealth(); h <= uint32(fleet.Unreachable) {
		health = fleet.Health(h)
	}
	out := fleet.Reading{
		At: now.Add(-milliseconds(m.GetAgeMs())), Health: health,
		Load: fleet.Load{
			Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()), Slots: int(m.GetSlots()),
			Slowdown: float64(m.GetSlowdownPercent()) / percentScale,
		},
		ColdFor: milliseconds(m.GetColdMs()), Misses: int(m.GetMisses()), Source: source,
	}
	if m.GetPeriodUs() > 0 {
		out.Period = time.Duration(m.GetPeriodUs()) * time.Microsecond
		out.ValidUntil = now.Add(time.Duration(m.GetValidUs()) * time.Microsecond)
	}
	return out
}

// encodeConfirmation returns the confirmation of the readings with the given times,
// by number of their server. Readings older than maxReadingAge are not confirmed.
func encodeConfirmation(now time.Time, asOf map[uint32]time.Time) *siblingpb.ReadingsConfirmed {
	out := &siblingpb.ReadingsConfirmed{}
	for number, at := range asOf {
		if now.Sub(at) > maxReadingAge {
			out.Except = append(out.Except, number)
			continue
		}
		out.AgeMs = max(out.AgeMs, ageMs(now, at))
	}
	return out
}

// encodeTable converts changes of the table called name, with the reads that led to them, to a message.
func encodeTable(now time.Time, name string, c replica.Changes, h outage.History) *siblingpb.TableNews {
	out := &siblingpb.TableNews{
		Table: name, Version: c.Version, After: c.BaseVersion, Whole: c.Full, AgeMs: ageMs(now, h.AsOf),
		UnbrokenMs: clamp(int(h.Unbroken().Milliseconds())), AfterOutage: h.AfterOutage, Era: (*uint64)(&c.Era), RemovalsAfter: c.RemovalsAfter,
	}
	for _, r := range c.Rows {
		if r.Era == 0 && c.Era != 0 {
			continue // from before the store stated eras; 0 stands for that of the table
		}
		row := &siblingpb.StoreRow{
			Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed, Latest: r.Latest, LatestRemoved: r.LatestRemoved,
		}
		if r.Era != c.Era {
			row.Era = uint64(r.Era)
		}
		out.Rows = append(out.Rows, row)
	}
	return out
}

// decodeTable returns the changes in a message that was received at now, and the history of the reads of
// the store that led to them.
func decodeTable(now time.Time, m *siblingpb.TableNews) (replica.Changes, outage.History) {
	c := replica.Changes{Era: replica.Era(m.GetEra()), BaseVersion: m.GetAfter(), Version: m.GetVersion(), Full: m.GetWhole(), RemovalsAfter: m.GetRemovalsAfter()}
	for _, r := range m.GetRows() {
		c.Rows = append(c.Rows, replica.Row{
			Key: r.GetKey(), Value: r.GetValue(), Era: replica.Era(r.GetEra()), Version: r.GetVersion(), Removed: r.GetRemoved(),
			Latest: r.GetLatest(), LatestRemoved: r.GetLatestRemoved(),
		})
	}
	asOf := now.Add(-milliseconds(m.GetAgeMs()))
	return c, outage.History{AsOf: asOf, Since: asOf.Add(-milliseconds(m.GetUnbrokenMs())), AfterOutage: m.GetAfterOutage()}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// ageMs returns the time from at to now in milliseconds, clamped to the range of
// messages.
func ageMs(now, at time.Time) uint32 { return clamp(int(now.Sub(at).Milliseconds())) }

// clamp limits n to the range from 0 to math.MaxInt32.
func clamp(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }
