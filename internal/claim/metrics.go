package claim

import "github.com/uber-go/tally/v4"

// metrics counts what the claimer does. None has labels, so that nothing of a
// request gets into them.
type metrics struct {
	granted, refused, duplicates       tally.Counter
	transactions, conflicts, uncertain tally.Counter
	released                           tally.Counter // claims whose permission was given to nobody
	lost                               tally.Counter // ends of calls that were not stored
	size                               tally.Histogram
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		granted: s.Counter("granted"), refused: s.Counter("refused"), duplicates: s.Counter("duplicates"),
		transactions: s.Counter("transactions"), conflicts: s.Counter("conflicts"), uncertain: s.Counter("uncertain"),
		released: s.Counter("released"), lost: s.Counter("lost"),
		size: s.Histogram("batch_size", tally.ValueBuckets{1, 2, 4, 8, 16, 32, 64}),
	}
}
