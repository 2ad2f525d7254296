package lease_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"
)

// BenchmarkControl measures the cost of lease management and heartbeats for all
// VMs in steady state, per VM and second of virtual time. The processor time
// includes the fake table and the encoding of messages. With loads=true, every
// number of free slots changes all the time, so the byte budget for load reports
// in heartbeats is used up.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ vms, regions, domains int }{{4, 1, 2}, {14, 2, 4}, {50, 4, 11}} {
		for _, pools := range []int{50, 200, 800} {
			for _, loads := range []bool{false, true} {
				b.Run(fmt.Sprintf("vms=%d/pools=%d/loads=%v", size.vms, pools, loads), func(b *testing.B) {
					ctx := context.Background()
					f := newFleet(b, size.vms, pools, size.regions, size.domains, loads)
					defer f.stop()
					f.run(ctx, 90*time.Second)
					for range b.N {
						reads, writes, rowBytes, sent, cpu := f.store.reads, f.store.writes, f.store.readBytes, f.sentBytes.Load(), processorTime(b)
						f.run(ctx, 30*time.Second)
						per := func(total float64) float64 { return total / float64(30*size.vms) }
						b.ReportMetric(per(float64(f.store.reads-reads)), "reads/vm-s")
						b.ReportMetric(per(float64(f.store.writes-writes)), "writes/vm-s")
						b.ReportMetric(per(float64(f.store.readBytes-rowBytes)), "rowB/vm-s")
						b.ReportMetric(per(float64(f.sentBytes.Load()-sent)), "hbB/vm-s")
						b.ReportMetric(per(float64((processorTime(b) - cpu).Microseconds())), "cpu-us/vm-s")
					}
				})
			}
		}
	}
}

// processorTime returns the user and system time of this process.
func processorTime(tb testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
