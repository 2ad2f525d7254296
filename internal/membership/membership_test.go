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

// Guards against heartbeats to all VMs of other regions, to a sibling while an
// exchange with it is running, or twice within the interval.
func TestDueHeartbeatsKeepIntervals(t *testing.T) {
	table := newPeerTable(self, []string{"10.9.0.1:7000", self.SiblingAddress})
	siblings := []vm.Info{sibling("r", 1), sibling("r", 2)}
	for i := range 5 {
		siblings = append(siblings, sibling("far", i))
	}
	count := func(at time.Duration, expedite bool) (near, far, seeds int) {
		for _, d := range table.dueHeartbeats(start.Add(at), siblings, expedite) {
			switch d.info.Region {
			case "r":
				near++
			case "far":
				far++
			default:
				seeds++
			}
			if d.info.ID != "r-2" {
				table.exchangeDone(d.info.ID, true)
			}
		}
		return near, far, seeds
	}
	for _, tt := range []struct {
		at               time.Duration
		expedite         bool
		near, far, seeds int
	}{
		{0, false, 2, 2, 1},
		{50 * time.Millisecond, true, 0, 0, 0},    // less than the minimum spacing has passed
		{150 * time.Millisecond, false, 1, 0, 0},  // the earlier trigger still applies; the exchange with r-2 is still running
		{1200 * time.Millisecond, false, 1, 0, 0}, // one interval later
		{2200 * time.Millisecond, false, 1, 2, 0}, // the interval of other regions is twice as long
		{5 * time.Second, false, 1, 2, 1},
	} {
		near, far, seeds := count(tt.at, tt.expedite)
		if near != tt.near || far != tt.far || seeds != tt.seeds {
			t.Errorf("at %v: %d near, %d far, %d seeds, want %d, %d, %d", tt.at, near, far, seeds, tt.near, tt.far, tt.seeds)
		}
	}
}

// Guards against load reports beyond their byte budget, against sending
// unchanged counts again, and against losing the counts of a failed exchange.
func TestLoadsStayWithinBudget(t *testing.T) {
	table := newPeerTable(self, nil)
	table.refresh(start, []vm.Info{sibling("r", 1)})
	var loads []*siblingpb.PoolLoad
	for i := range 200 {
		loads = append(loads, &siblingpb.PoolLoad{Service: fmt.Sprintf("service-%d", i), FailureDomain: "a", Free: 1, Epoch: 1})
	}
	sentBytes := 0
	for sec := range 20 {
		for _, l := range loads {
			l.Free = uint32(sec % 3)
		}
		for _, l := range table.changedLoads(start.Add(time.Duration(sec)*time.Second), "r-1", loads) {
			sentBytes += proto.Size(l) + 2 // with tag and length of the repeated field
		}
	}
	if limit := loadBurstBytes + 19*LoadBytesPerSecond; sentBytes > limit || sentBytes < limit*9/10 {
		t.Errorf("sent %d B of load reports, want at most %d and at least nine tenths of it", sentBytes, limit)
	}

	now, one := start.Add(time.Hour), loads[:1]
	if got := table.changedLoads(now, "r-1", one); len(got) > 1 {
		t.Errorf("%d load reports for one pool, want at most 1", len(got))
	}
	if got := table.changedLoads(now, "r-1", one); len(got) != 0 {
		t.Errorf("unchanged counts are sent again: %v", got)
	}
	table.exchangeDone("r-1", false)
	if got := table.changedLoads(now, "r-1", one); len(got) != 1 {
		t.Errorf("counts of a failed exchange are not sent again")
	}
}

// Guards against treating a VM as removed without a recent list of VMs.
func TestRemovedNeedsRecentVMList(t *testing.T) {
	var unread *vmList
	l := &vmList{readAt: start, entries: []platform.VMEntry{{Name: "r-1"}}}
	for _, tt := range []struct {
		l    *vmList
		at   time.Duration
		id   vm.ID
		want bool
	}{
		{unread, 0, "r-2", false},
		{l, 0, "r-1", false},
		{l, 0, "r-2", true},
		{l, vmListMaxAge + time.Second, "r-2", false},
	} {
		if got := tt.l.removed(start.Add(tt.at), tt.id); got != tt.want {
			t.Errorf("removed(%s) after %v is %v, want %v", tt.id, tt.at, got, tt.want)
		}
	}
}

// fakeLease returns the siblings that a test sets.
type fakeLease struct {
	self     vm.Info
	siblings []vm.Info
	answered int
}

func (l *fakeLease) FillHeartbeat(hb *siblingpb.Heartbeat) uint64 {
	hb.VmId, hb.Region, hb.SiblingAddress = string(l.self.ID), l.self.Region, l.self.SiblingAddress
	return 7
}
func (l *fakeLease) HandleHeartbeat(_, answer *siblingpb.Heartbeat) { l.FillHeartbeat(answer) }
func (l *fakeLease) HandleHeartbeatResponse(_ time.Time, incarnation uint64, answer *siblingpb.Heartbeat) {
	if incarnation == 7 && answer.Region == "r" {
		l.answered++
	}
}
func (l *fakeLease) Siblings() []vm.Info { return l.siblings }

// directLink passes heartbeats to the Tracker of the other VM.
type directLink struct {
	to    *Tracker
	short []bool
}

func (d *directLink) RoundTrip(ctx context.Context, _ vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
	hb := proto.CloneOf(req.GetHeartbeat())
	d.short = append(d.short, hb.Region == "")
	answer, err := d.to.HandleHeartbeat(ctx, hb)
	if err != nil {
		return nil, err
	}
	return &siblingpb.Response{Kind: &siblingpb.Response_Heartbeat{Heartbeat: proto.CloneOf(answer)}}, nil
}

// Guards against short heartbeats to a sibling that does not know the sender,
// for instance after the sibling restarted, and against losing the
// configuration version.
func TestShortHeartbeatOnlyToSiblingThatKnowsSender(t *testing.T) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	other := sibling("r", 1)
	newOther := func() *Tracker {
		return NewTracker(Config{
			Self: other, Lease: &fakeLease{self: other}, Clock: clock, Logger: log.NewNopLogger(),
			Version: func() (uint64, time.Duration, bool) { return 5, 1500 * time.Millisecond, true },
		})
	}
	link := &directLink{to: newOther()}
	leases := &fakeLease{self: self, siblings: []vm.Info{other}}
	var version uint64
	var age time.Duration
	tracker := NewTracker(Config{
		Self: self, RoundTripper: link, Lease: leases, Clock: clock, Logger: log.NewNopLogger(),
		OnVersion: func(_ time.Time, _ vm.Info, v uint64, a time.Duration) { version, age = v, a },
	})
	ctx := context.Background()
	tracker.mu.Lock()
	tracker.table.refresh(clock.Now(), leases.siblings)
	tracker.mu.Unlock()
	for range 2 {
		tracker.sendHeartbeat(ctx, other)
	}
	link.to = newOther() // restarted
	for range 3 {
		tracker.sendHeartbeat(ctx, other)
	}
	if want := []bool{false, true, true, false, true}; fmt.Sprint(link.short) != fmt.Sprint(want) {
		t.Errorf("short heartbeats: %v, want %v", link.short, want)
	}
	if leases.answered != 4 || version != 5 || age != 1500*time.Millisecond {
		t.Errorf("%d answers, version %d, age %v, want 4 answers, version 5, age 1.5s", leases.answered, version, age)
	}
	if lastHeard, ok := tracker.LastHeard(other.ID); !ok || !lastHeard.Equal(clock.Now()) {
		t.Errorf("the sibling was last heard at %v, want the current time of the clock", lastHeard)
	}
	if _, err := tracker.HandleHeartbeat(ctx, &siblingpb.Heartbeat{}); err == nil || errors.Is(err, context.Canceled) {
		t.Error("a heartbeat without VM ID is accepted")
	}
}

// Guards against a VM that was paused and treats the age in an old request as a
// recent confirmation of its own old version.
func TestHeartbeatRequestDoesNotConfirmVersion(t *testing.T) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	other := sibling("r", 1)
	var age time.Duration
	tracker := NewTracker(Config{
		Self: self, Lease: &fakeLease{self: self, siblings: []vm.Info{other}}, Clock: clock, Logger: log.NewNopLogger(),
		OnVersion: func(_ time.Time, _ vm.Info, _ uint64, a time.Duration) { age = a },
	})
	_, err := tracker.HandleHeartbeat(context.Background(), &siblingpb.Heartbeat{
		VmId: string(other.ID), Incarnation: 1, Region: other.Region, FailureDomain: other.FailureDomain,
		SiblingAddress: other.SiblingAddress, ConfigVersion: 5, ConfirmedAgeMs: 100,
	})
	if err != nil || age != NotConfirmed {
		t.Errorf("age %v, error %v, want age NotConfirmed (-1ns) and no error", age, err)
	}
}
