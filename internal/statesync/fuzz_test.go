package statesync

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/counts"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/suspendclock"
)

// newTestPeer returns this VM's end of a subscription of another VM of its failure domain.
func newTestPeer(servers *fleet.ServerTable, tables ...*replica.Table) *peer {
	if len(tables) == 0 {
		tables = []*replica.Table{replica.New("t", nil)}
	}
	self := fleet.VM{ID: "self", FailureDomain: "a", Region: "r"}
	syncer := New(Config{
		Self: self, Servers: servers, Tables: tables, Counts: counts.NewBoard(self.FailureDomain), Liveness: NewLiveness(),
		VMs: func() []fleet.VM { return []fleet.VM{self} }, OnChange: func(bool) {}, RegionOf: func(string) string { return "r" },
		NeededByRegion: func(string, string) bool { return true }, Clock: suspendclock.Now, ProveAge: func() bool { return true }, Logger: log.NewNopLogger(),
	})
	p := newPeer(syncer, fleet.VM{ID: "peer", FailureDomain: "a", Region: "r"}, nil)
	p.peerSubscribed = true
	return p
}

// Guards against a message of a faulty sibling that ends the process, or that is recorded as
// a reading from the future, which no later one would replace.
func FuzzApplyMessage(f *testing.F) {
	for _, m := range []*siblingpb.News{
		{
			Numbers:  []*siblingpb.ServerNumber{{Number: 1, Server: "s"}},
			Readings: []*siblingpb.ServerReading{{Number: 1, AgeMs: 1, Health: 1, ColdMs: 5, ValidUs: 1 << 31, PeriodUs: 1}},
			InUse:    []*siblingpb.InUse{{Number: 1, Requests: 1 << 31}}, Seen: []*siblingpb.VMSeen{{VmId: "v", AgeMs: 1 << 31}},
		},
		{Tables: []*siblingpb.TableNews{{Table: "t", Version: 1, Whole: true, Rows: []*siblingpb.StoreRow{{Key: "k"}, {Key: "k", Removed: true}}}}},
		{Confirmed: &siblingpb.ReadingsConfirmed{AgeMs: 1 << 31, Except: []uint32{0, 1, 1 << 31}}},
	} {
		raw, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := &siblingpb.News{}
		if proto.Unmarshal(raw, m) != nil {
			return
		}
		servers := fleet.NewServerTable()
		servers.SetServers([]fleet.Server{{ID: "s", Service: "svc", FailureDomain: "a", Slots: 2}})
		p := newTestPeer(servers)
		p.applyMessage(m)
		now := time.Now()
		if r, _ := servers.Reading("s"); r.AsOf().After(now) {
			t.Errorf("reading from the future: %+v", r)
		}
		for range 2 {
			if out := p.nextMessage(now); out != nil {
				if _, err := proto.Marshal(out); err != nil {
					t.Errorf("answer cannot be encoded: %v", err)
				}
			}
			now = now.Add(fullSetInterval)
		}
		servers.Views(nil, "svc", now)
	})
}
