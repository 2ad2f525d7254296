package entry

import (
	"strings"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/counts"
	"goldcresthinge.example/goldcresthinge/internal/fairshare"
)

// teamSeparator separates service and team in the name of a counts.Subject for what a team got. No
// name contains it.
const teamSeparator = "#"

// exchangeShares shares with the other VMs what the teams got here, in ms of service time, and
// takes over what they got elsewhere. Where no requests wait, the order of the teams does not matter,
// and nothing is sent.
func exchangeShares(now time.Time, board *counts.Board, ledger *fairshare.Ledger, waiting bool) {
	ledger.Teams(now, func(service, team string, own time.Duration) {
		v := counts.Values{}
		if waiting && own > 0 {
			v = counts.Values{uint32(max(own.Milliseconds(), 1))} //nolint:gosec // some seconds
		}
		board.Publish(counts.Subject{Kind: counts.Share, Name: service + teamSeparator + team}, v)
	})
	for _, s := range board.Subjects(counts.Share) {
		if service, team, found := strings.Cut(s.Name, teamSeparator); found {
			got := board.Others(s, now).Values.At(0)
			ledger.SetOthers(now, service, team, time.Duration(got)*time.Millisecond)
		}
	}
}
