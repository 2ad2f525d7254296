package claim_test

import (
	"context"
	"fmt"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
)

var _ = Describe("Sweeper", func() {
	var (
		clock   *quartz.Mock
		store   *standin.Server
		sweeper *claim.Sweeper
	)

	BeforeEach(func() {
		clock = quartz.NewMock(GinkgoTB())
		store = standin.NewServer(clock, 1)
		// Each Step deletes at most 10 rows. This VM is always the one that
		// sweeps.
		sweeper = claim.NewSweeper(store.Client("vm-1"), 10, func() bool { return true }, clock, log.NewNopLogger())
	})

	// add stores n claims of the given age. Their keys begin with 000 after the
	// prefix, so they are in the part of the rows that the first Step reads.
	// The rest of a key only makes it unique.
	add := func(n int, age time.Duration) {
		GinkgoHelper()
		record := claim.Record{VM: "vm-1", Incarnation: 1, Nonce: "n", State: claim.StateUnknown, Time: clock.Now().Add(-age)}
		for i := range n {
			_, err := store.Client("vm-1").Commit(context.Background(), []platform.Op{{
				Key: fmt.Sprintf("%s000%04d%d", claim.RowPrefix, i, age), Value: record.Encode(),
			}})
			Expect(err).NotTo(HaveOccurred())
		}
	}

	// Guards against deleting a claim while a caller may still repeat its
	// request.
	It("keeps claims until the retention has passed", func() {
		add(3, claim.Retention-time.Minute)
		Expect(sweeper.Step(context.Background())).To(Succeed())
		Expect(store.Rows(claim.RowPrefix)).To(HaveLen(3))
	})

	It("deletes at most 10 expired claims per step", func() {
		add(25, claim.Retention+time.Minute)
		for _, left := range []int{15, 5, 0} {
			Expect(sweeper.Step(context.Background())).To(Succeed())
			Expect(store.Rows(claim.RowPrefix)).To(HaveLen(left))
		}
	})

	It("changes nothing while the store is down and continues when it is up again", func() {
		add(5, claim.Retention+time.Minute)
		store.SetFaults(standin.Fault{Down: true})
		Expect(sweeper.Step(context.Background())).NotTo(Succeed())
		store.SetFaults()
		Expect(sweeper.Step(context.Background())).To(Succeed())
		Expect(store.Rows(claim.RowPrefix)).To(BeEmpty())
	})
})
