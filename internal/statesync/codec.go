package statesync

import (
	"math"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/replica"
)

// percent is the scale of the slowdown in messages.
const percent = 100

func encodeReading(now time.Time, number uint32, r fleet.Reading) *siblingpb.ServerReading {
	return &siblingpb.ServerReading{
		Number: number, AgeMs: ageMs(now, r.At), Health: uint32(r.Health),
		Running: clamp(r.Load.Running), Waiting: clamp(r.Load.Waiting), Slots: clamp(r.Load.Slots),
		SlowdownPercent: clamp(int(math.Round(r.Load.Slowdown * percent))),
		ColdMs:          clamp(int(r.ColdFor.Milliseconds())), Misses: clamp(r.Misses),
		ValidUs: clamp(int(validFor(now, r).Microseconds())), PeriodUs: clamp(int(r.Period.Microseconds())),
	}
}

// validFor returns the time until the next change that is due.
func validFor(now time.Time, r fleet.Reading) time.Duration {
	left := r.ValidUntil.Sub(now)
	if r.Period > 0 && left < 0 {
		left = r.Period - (-left)%r.Period
	}
	return left
}

func decodeReading(now time.Time, m *siblingpb.ServerReading, source string) fleet.Reading {
	health := fleet.Unmeasured
	if h := m.GetHealth(); h <= uint32(fleet.Unreachable) {
		health = fleet.Health(h)
	}
	out := fleet.Reading{
		At: now.Add(-ms(m.GetAgeMs())), Health: health,
		Load: fleet.Load{
			Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()), Slots: int(m.GetSlots()),
			Slowdown: float64(m.GetSlowdownPercent()) / percent,
		},
		ColdFor: ms(m.GetColdMs()), Misses: int(m.GetMisses()), Source: source,
	}
	if m.GetPeriodUs() > 0 {
		out.Period = time.Duration(m.GetPeriodUs()) * time.Microsecond
		out.ValidUntil = now.Add(time.Duration(m.GetValidUs()) * time.Microsecond)
	}
	return out
}

func encodeTable(now time.Time, name string, c replica.Changes, asOf time.Time) *siblingpb.TableNews {
	out := &siblingpb.TableNews{
		Table: name, Version: c.Version, After: c.BaseVersion, Whole: c.Full, AgeMs: ageMs(now, asOf),
	}
	for _, r := range c.Rows {
		out.Rows = append(out.Rows, &siblingpb.StoreRow{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	return out
}

func decodeTable(now time.Time, m *siblingpb.TableNews) (replica.Changes, time.Time) {
	c := replica.Changes{BaseVersion: m.GetAfter(), Version: m.GetVersion(), Full: m.GetWhole()}
	for _, r := range m.GetRows() {
		c.Rows = append(c.Rows, replica.Row{
			Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved(),
		})
	}
	return c, now.Add(-ms(m.GetAgeMs()))
}

func ms(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func ageMs(now, at time.Time) uint32 { return clamp(int(now.Sub(at).Milliseconds())) }

func clamp(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }
