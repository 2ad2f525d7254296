package front

import "time"

// CloseIdle is closeIdle.
func (l *Listener) CloseIdle(before time.Time) int { return l.closeIdle(before) }
