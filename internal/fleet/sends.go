package fleet

import "time"

// maxUnconfirmedSends is the number of requests sent after the latest measurement that are
// counted for longer than a second.
const maxUnconfirmedSends = 64

// dropSettledSends drops the sends that can no longer have reached the server while it was
// cold, because it was measured as not cold later.
func (st *serverState) dropSettledSends() {
	asOf := st.reading.AsOf()
	if st.reading.Cold(asOf) || (st.reading.Health != Healthy && st.reading.Health != Unhealthy) {
		return
	}
	st.sends = st.sends[st.firstSendAfter(asOf):]
}

// firstSendAfter returns the index in st.sends of the first send after t.
func (st *serverState) firstSendAfter(t time.Time) int {
	i := len(st.sends)
	for i > 0 && st.sends[i-1].After(t) {
		i--
	}
	return i
}

// recentSends returns the number of st.sends within the last second, and the number of
// those after the latest measurement. It drops sends that neither may include later.
func (st *serverState) recentSends(now time.Time) (inSecond, unconfirmed int) {
	recent := st.firstSendAfter(now.Add(-time.Second))
	measured := st.firstSendAfter(st.reading.AsOf())
	inSecond, unconfirmed = len(st.sends)-recent, len(st.sends)-measured
	keep := min(recent, max(measured, len(st.sends)-maxUnconfirmedSends))
	st.sends = st.sends[keep:]
	return inSecond, unconfirmed
}
