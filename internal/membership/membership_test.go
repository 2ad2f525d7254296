package membership

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self  = vm.Info{ID: "self", Region: "r", FailureDomain: "a", SiblingAddress: "10.0.0.1:7000"}
)

func sibling(region string, i int) vm.Info {
	return vm.Info{ID: vm.ID(fmt.Sprintf("%s-%d", region, i)), Region: region, SiblingAddress: fmt.Sprintf("10.%d.0.%d:7000", len(region), i)}
}

// Guards against heartbeats to all VMs of other regions, to a sibling with an
// exchange running, or twice within the interval.
func TestDueKeepsIntervals(t *testing.T) {
	b := newBook(self, []string{"10.9.0.1:7000", self.SiblingAddress})
	siblings := []vm.Info{sibling("r", 1), sibling("r", 2)}
	for i := range 5 {
		siblings = append(siblings, sibling("far", i))
	}
	count := func(at time.Duration, hurry bool) (near, far, seeds int) {
		for _, d := range b.due(start.Add(at), siblings, hurry) {
			switch d.info.Region {
			case "r":
				near++
			case "far":
				far++
			default:
				seeds++
			}
			if d.info.ID != "r-2" {
				b.done(d.info.ID, true)
			}
		}
		return near, far, seeds
	}
	for _, tt := range []struct {
		at               time.Duration
		hurry            bool
		near, far, seeds int
	}{
		{0, false, 2, 2, 1},
		{50 * time.Millisecond, true, 0, 0, 0},    // less than the spacing after the last
		{150 * time.Millisecond, false, 1, 0, 0},  // the hurry is kept; r-2 is busy
		{1200 * time.Millisecond, false, 1, 0, 0}, // an interval later
		{2200 * time.Millisecond, false, 1, 2, 0}, // the double interval of other regions
		{5 * time.Second, false, 1, 2, 1},
	} {
		near, far, seeds := count(tt.at, tt.hurry)
		if near != tt.near || far != tt.far || seeds != tt.seeds {
			t.Errorf("at %v: %d near, %d far, %d seeds, want %d, %d, %d", tt.at, near, far, seeds, tt.near, tt.far, tt.seeds)
		}
	}
}

// Guards against load news beyond their budget, against news that are sent
// again without a change, and against news that a failed exchange loses.
func TestLoadsStayWithinBudget(t *testing.T) {
	b := newBook(self, nil)
	b.refresh(start, []vm.Info{sibling("r", 1)})
	var loads []*siblingpb.PoolLoad
	for i := range 200 {
		loads = append(loads, &siblingpb.PoolLoad{Service: fmt.Sprintf("service-%d", i), FailureDomain: "a", Free: 1, Epoch: 1})
	}
	sent := 0
	for sec := range 20 {
		for _, l := range loads {
			l.Free = uint32(sec % 3)
		}
		for _, l := range b.loadsFor(start.Add(time.Duration(sec)*time.Second), "r-1", loads) {
			sent += proto.Size(l) + 2
		}
	}
	if limit := loadBurst + 19*LoadBytesPerSecond; sent > limit || sent < limit*9/10 {
		t.Errorf("sent %d B of load news, want at most %d and at least nine tenths of it", sent, limit)
	}

	now, one := start.Add(time.Hour), loads[:1]
	if got := b.loadsFor(now, "r-1", one); len(got) > 1 {
		t.Errorf("%d news for one pool", len(got))
	}
	if got := b.loadsFor(now, "r-1", one); len(got) != 0 {
		t.Errorf("unchanged counts are sent again: %v", got)
	}
	b.done("r-1", false)
	if got := b.loadsFor(now, "r-1", one); len(got) != 1 {
		t.Errorf("counts of a failed exchange are not sent again")
	}
}

// Guards against a VM that counts as gone without a fresh list.
func TestGoneNeedsFreshList(t *testing.T) {
	var none *listing
	l := &listing{at: start, entries: []platform.VMEntry{{Name: "r-1"}}}
	for _, tt := range []struct {
		l    *listing
		at   time.Duration
		id   vm.ID
		want bool
	}{
		{none, 0, "r-2", false},
		{l, 0, "r-1", false},
		{l, 0, "r-2", true},
		{l, listMaxAge + time.Second, "r-2", false},
	} {
		if got := tt.l.gone(start.Add(tt.at), tt.id); got != tt.want {
			t.Errorf("gone(%s) after %v is %v, want %v", tt.id, tt.at, got, tt.want)
		}
	}
}

// oneLease knows the siblings that a test gives it.
type oneLease struct {
	self     vm.Info
	siblings []vm.Info
	answered int
}

func (l *oneLease) FillHeartbeat(hb *siblingpb.Heartbeat) uint64 {
	hb.VmId, hb.Region, hb.SiblingAddress = string(l.self.ID), l.self.Region, l.self.SiblingAddress
	return 7
}
func (l *oneLease) HandleHeartbeat(_, answer *siblingpb.Heartbeat) { l.FillHeartbeat(answer) }
func (l *oneLease) HandleHeartbeatResponse(_ time.Time, sentAs uint64, answer *siblingpb.Heartbeat) {
	if sentAs == 7 && answer.Region == "r" {
		l.answered++
	}
}
func (l *oneLease) Siblings() []vm.Info { return l.siblings }

// direct hands heartbeats to the table of the other VM.
type direct struct {
	to    *Tracker
	short []bool
}

func (d *direct) RoundTrip(ctx context.Context, _ vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
	hb := proto.CloneOf(req.GetHeartbeat())
	d.short = append(d.short, hb.Region == "")
	answer, err := d.to.HandleHeartbeat(ctx, hb)
	if err != nil {
		return nil, err
	}
	return &siblingpb.Response{Kind: &siblingpb.Response_Heartbeat{Heartbeat: proto.CloneOf(answer)}}, nil
}

// Guards against short heartbeats to a sibling that does not know the sender,
// for instance after its restart, and against lost news of configuration.
func TestShortHeartbeatOnlyToSiblingThatKnowsUs(t *testing.T) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	peer := sibling("r", 1)
	newPeer := func() *Tracker {
		return NewTracker(Config{
			Self: peer, Lease: &oneLease{self: peer}, Clock: clock, Logger: log.NewNopLogger(),
			Version: func() (uint64, time.Duration, bool) { return 5, 1500 * time.Millisecond, true },
		})
	}
	link := &direct{to: newPeer()}
	leases := &oneLease{self: self, siblings: []vm.Info{peer}}
	var version uint64
	var age time.Duration
	table := NewTracker(Config{
		Self: self, RoundTripper: link, Lease: leases, Clock: clock, Logger: log.NewNopLogger(),
		OnVersion: func(_ time.Time, _ vm.Info, v uint64, a time.Duration) { version, age = v, a },
	})
	ctx := context.Background()
	table.mu.Lock()
	table.book.refresh(clock.Now(), leases.siblings)
	table.mu.Unlock()
	for range 2 {
		table.beat(ctx, peer)
	}
	link.to = newPeer() // restarted
	for range 3 {
		table.beat(ctx, peer)
	}
	if want := []bool{false, true, true, false, true}; fmt.Sprint(link.short) != fmt.Sprint(want) {
		t.Errorf("short heartbeats: %v, want %v", link.short, want)
	}
	if leases.answered != 4 || version != 5 || age != 1500*time.Millisecond {
		t.Errorf("%d answers, version %d, age %v", leases.answered, version, age)
	}
	if heard, ok := table.LastHeard(peer.ID); !ok || !heard.Equal(clock.Now()) {
		t.Errorf("the sibling was last heard at %v", heard)
	}
	if _, err := table.HandleHeartbeat(ctx, &siblingpb.Heartbeat{}); err == nil || errors.Is(err, context.Canceled) {
		t.Error("a heartbeat without VM id is accepted")
	}
}

// Guards against a paused VM that takes the age in an old request as a fresh
// confirmation of its own old version.
func TestRequestConfirmsNothing(t *testing.T) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	peer := sibling("r", 1)
	var age time.Duration
	table := NewTracker(Config{
		Self: self, Lease: &oneLease{self: self, siblings: []vm.Info{peer}}, Clock: clock, Logger: log.NewNopLogger(),
		OnVersion: func(_ time.Time, _ vm.Info, _ uint64, a time.Duration) { age = a },
	})
	_, err := table.HandleHeartbeat(context.Background(), &siblingpb.Heartbeat{
		VmId: string(peer.ID), Incarnation: 1, Region: peer.Region, FailureDomain: peer.FailureDomain,
		SiblingAddress: peer.SiblingAddress, ConfigVersion: 5, ConfirmedAgeMs: 100,
	})
	if err != nil || age != NotConfirmed {
		t.Errorf("age %v, error %v", age, err)
	}
}
