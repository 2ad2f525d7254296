package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/coder/quartz"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/rollout"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollout")
}

// fakeStore is a platform store in memory. Tests set its fields to cause
// faults.
type fakeStore struct {
	mu          sync.Mutex
	rows        map[string]platform.Row
	objects     map[string][]byte
	lastVersion uint64
	down        bool
	// loseAnswers is the number of commits that take effect but get no answer.
	loseAnswers int
	// dropCommits is the number of commits that have no effect and get no
	// answer.
	dropCommits int
	// delayCommits is the number of commits that get no answer and take effect
	// only after the next request to the table.
	delayCommits   int
	delayedCommits [][]platform.Op
	beforePut      func() // runs once, before the next Put
	beforeGet      func() // runs once, before the next Get of the table
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Row, error) {
	if hook := s.beforeGet; hook != nil {
		s.beforeGet = nil
		hook()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	defer s.applyDelayedCommits()
	if row, ok := s.rows[key]; ok {
		return row, nil
	}
	return platform.Row{}, platform.ErrNotFound
}

// applyDelayedCommits applies the delayed commits whose conditions still hold.
func (s *fakeStore) applyDelayedCommits() {
	commits := s.delayedCommits
	s.delayedCommits = nil
	for _, ops := range commits {
		_ = s.write(ops)
	}
}

func (s *fakeStore) Scan(context.Context, string, int) ([]platform.Row, error) {
	return nil, errors.New("not used")
}

func (s *fakeStore) Commit(_ context.Context, ops []platform.Op) ([]platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, platform.ErrUnavailable
	}
	if s.dropCommits > 0 {
		s.dropCommits--
		return nil, platform.ErrUncertain
	}
	if s.delayCommits > 0 {
		s.delayCommits--
		s.delayedCommits = append(s.delayedCommits, ops)
		return nil, platform.ErrUncertain
	}
	defer s.applyDelayedCommits()
	if err := s.write(ops); err != nil {
		return nil, err
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return nil, platform.ErrUncertain
	}
	return make([]platform.Row, len(ops)), nil
}

func (s *fakeStore) write(ops []platform.Op) error {
	for _, op := range ops {
		if row := s.rows[op.Key]; row.Version != op.IfVersion {
			return &platform.ConflictError{Rows: []platform.Row{row}}
		}
	}
	for _, op := range ops {
		s.lastVersion++
		if op.Delete {
			delete(s.rows, op.Key)
			continue
		}
		s.rows[op.Key] = platform.Row{Key: op.Key, Value: op.Value, Version: s.lastVersion}
	}
	return nil
}

func (s *fakeStore) Put(_ context.Context, name string, data []byte) error {
	if hook := s.beforePut; hook != nil {
		s.beforePut = nil
		hook()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.ErrUnavailable
	}
	s.objects[name] = data
	return nil
}

// objectStore is the object store of a fakeStore. It has its own Get method,
// since the Get method of fakeStore is that of the table.
type objectStore struct{ *fakeStore }

func (o objectStore) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, platform.ErrUnavailable
	}
	if data, ok := o.objects[name]; ok {
		return data, nil
	}
	return nil, platform.ErrNotFound
}

// fakeNetwork connects the VMs of a test in memory.
type fakeNetwork struct {
	mu    sync.Mutex
	vms   map[string]*testVM // by sibling address
	clock *quartz.Mock
	store *fakeStore
}

type testVM struct {
	*rollout.Syncer
	info          vm.Info
	network       *fakeNetwork
	disconnected  bool // exchanges from and to it fail
	hasNoSiblings bool // Siblings returns no VM
	pulls         []uint64
	pushes        int
}

func newFakeNetwork(t quartz.TestingT) *fakeNetwork {
	return &fakeNetwork{vms: map[string]*testVM{}, clock: quartz.NewMock(t), store: newFakeStore()}
}

func (n *fakeNetwork) add(id, region string) *testVM {
	return n.start(id, region, nil, nil)
}

// fakeVMList is the platform's list of VMs.
type fakeVMList []platform.VMEntry

func (l fakeVMList) List(context.Context) ([]platform.VMEntry, error) { return l, nil }

// start adds a VM. With seeds or a list, its Siblings method returns no VM.
func (n *fakeNetwork) start(id, region string, seeds []string, vms fakeVMList) *testVM {
	v := &testVM{hasNoSiblings: seeds != nil || vms != nil, network: n, info: vm.Info{ID: vm.ID(id), Region: region, FailureDomain: region + "-a", SiblingAddress: id + ":1"}}
	var changes atomic.Int64
	v.Syncer = rollout.New(rollout.Config{
		Self: v.info, Table: n.store, Objects: objectStore{n.store}, Peers: v, Seeds: seeds, VMs: vms, Clock: n.clock,
		Jitter: func() float64 { return 0.5 },
		Nonce:  func() string { return fmt.Sprintf("%s-%d", id, changes.Add(1)) },
	})
	n.vms[v.info.SiblingAddress] = v
	return v
}

func (v *testVM) Siblings() []vm.Info {
	v.network.mu.Lock()
	defer v.network.mu.Unlock()
	var list []vm.Info
	for _, other := range v.network.vms {
		if other != v && !v.hasNoSiblings {
			list = append(list, other.info)
		}
	}
	return list
}

func (v *testVM) RoundTrip(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
	v.network.mu.Lock()
	other := v.network.vms[to.SiblingAddress]
	unreachable := other == nil || other.disconnected || v.disconnected
	if !unreachable {
		switch kind := req.Kind.(type) {
		case *siblingpb.Request_PullConfig:
			other.pulls = append(other.pulls, kind.PullConfig.HaveVersion)
		case *siblingpb.Request_PushConfig:
			other.pushes++
		}
	}
	v.network.mu.Unlock()
	if unreachable {
		return nil, errors.New("no route")
	}
	switch kind := req.Kind.(type) {
	case *siblingpb.Request_PullConfig:
		return &siblingpb.Response{Kind: &siblingpb.Response_Config{Config: other.HandlePull(kind.PullConfig.HaveVersion)}}, nil
	case *siblingpb.Request_PushConfig:
		ack := &siblingpb.Ack{Ok: true}
		if err := other.HandlePush(ctx, kind.PushConfig); err != nil {
			ack = &siblingpb.Ack{Error: err.Error()}
		}
		return &siblingpb.Response{Kind: &siblingpb.Response_Ack{Ack: ack}}, nil
	}
	return nil, errors.New("unexpected request")
}

// exampleDocument returns the document of the example "authority" with the
// failure domains out taken out of service.
func exampleDocument(out ...string) []byte {
	text, err := os.ReadFile("../../examples/authority.yaml")
	Expect(err).NotTo(HaveOccurred())
	return []byte(strings.Replace(string(text), "out_of_service: []", "out_of_service: ["+strings.Join(out, ", ")+"]", 1))
}

func (v *testVM) version() uint64 {
	if snap := v.Current(); snap != nil {
		return snap.Version
	}
	return 0
}

// largeDocument returns a document of the size that the load balancer must
// support: 1,800 targets in 69 services, 4 regions and 11 failure domains.
func largeDocument() []byte {
	doc := inventory.Document{}
	for i := range 4 {
		doc.Regions = append(doc.Regions, inventory.Region{Name: fmt.Sprintf("region-%d", i), Store: i == 0})
	}
	for i := range 11 {
		doc.FailureDomains = append(doc.FailureDomains, inventory.FailureDomain{
			Name: fmt.Sprintf("domain-%d", i), Region: fmt.Sprintf("region-%d", i%4),
		})
	}
	for i := range 69 {
		doc.Services = append(doc.Services, inventory.Service{Name: fmt.Sprintf("service-%d", i)})
	}
	for i := range 1800 {
		s := &doc.Services[i%69]
		s.Targets = append(s.Targets, inventory.Target{
			Name: fmt.Sprintf("target-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%11),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i%11, i/250, i%250+1),
		})
	}
	text, err := inventory.Encode(&doc)
	Expect(err).NotTo(HaveOccurred())
	return text
}
