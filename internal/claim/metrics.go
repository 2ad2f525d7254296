package claim

import "github.com/uber-go/tally/v4"

// metrics counts the claimer's results. No metric has labels, so no data of a
// request can get into them.
type metrics struct {
	granted, refused, duplicates       tally.Counter
	transactions, conflicts, uncertain tally.Counter
	releasedClaims                     tally.Counter // claims that were stored but not granted to a caller
	lostWrites                         tally.Counter // outcomes of calls that were not stored
	groupSize                          tally.Histogram
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		granted: s.Counter("granted"), refused: s.Counter("refused"), duplicates: s.Counter("duplicates"),
		transactions: s.Counter("transactions"), conflicts: s.Counter("conflicts"), uncertain: s.Counter("uncertain"),
		releasedClaims: s.Counter("released"), lostWrites: s.Counter("lost"),
		groupSize: s.Histogram("batch_size", tally.ValueBuckets{1, 2, 4, 8, 16, 32, 64}),
	}
}
