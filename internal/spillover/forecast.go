package spillover

import (
	"math"
	"strings"
	"time"
)

const (
	// levelTime and trendTime are the time constants with which level and trend follow new
	// values. The level averages the chance in the arrivals of a few hundred milliseconds; the
	// trend has to follow swings of several seconds.
	levelTime = 200 * time.Millisecond
	trendTime = 500 * time.Millisecond
	// horizon is the time that a forecast looks ahead: the delay of the counts and the time until
	// requests that are placed now have ended.
	horizon = time.Second
	// maxFactor bounds a forecast to a multiple of the level.
	maxFactor = 1.4
	// wrongShare is the deviation of a value from its forecast, as a share of the level, after
	// which the forecast is not used for distrustTime.
	wrongShare   = 0.4
	distrustTime = time.Second
)

// Forecast predicts a demand from its level and its trend. A swing with a period of several
// seconds is nearly straight within the horizon, so that a model of its period is not needed,
// and a burst or a lost failure domain has none. The zero value has no history.
type Forecast struct {
	at            time.Time
	level, trend  float64 // trend is per second
	distrustUntil time.Time
}

// Observe records the present value.
func (f *Forecast) Observe(now time.Time, value float64) {
	if f.at.IsZero() {
		f.at, f.level = now, value
		return
	}
	dt := now.Sub(f.at).Seconds()
	if dt <= 0 {
		return
	}
	predicted := f.level + f.trend*dt
	if math.Abs(value-predicted) > wrongShare*max(f.level, 1) {
		f.distrustUntil = now.Add(distrustTime)
	}
	level := predicted + (1-math.Exp(-dt/levelTime.Seconds()))*(value-predicted)
	f.trend += (1 - math.Exp(-dt/trendTime.Seconds())) * ((level-f.level)/dt - f.trend)
	f.level, f.at = level, now
}

// Expect returns the value expected at the horizon. After a forecast that was wrong, it returns
// the present level.
func (f *Forecast) Expect(now time.Time) float64 {
	if now.Before(f.distrustUntil) {
		return f.level
	}
	return min(max(f.level+f.trend*horizon.Seconds(), 0), f.level*maxFactor)
}

func classKey(regions []string) string { return strings.Join(regions, ",") }
