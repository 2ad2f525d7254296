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

// store is a platform store in memory. The hooks make it fail.
type store struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	last    uint64
	down    bool
	// loseAnswers is the number of commits that take effect without an answer.
	loseAnswers int
	// dropCommits is the number of commits that have no effect and no answer.
	dropCommits int
	// lateCommits is the number of commits whose answer is lost and that
	// arrive only after the next request of the table.
	lateCommits int
	late        [][]platform.Op
	beforePut   func() // runs once, before the next Put
	beforeGet   func() // runs once, before the next Get of the table
}

func newStore() *store {
	return &store{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

func (s *store) Get(_ context.Context, key string) (platform.Row, error) {
	if hook := s.beforeGet; hook != nil {
		s.beforeGet = nil
		hook()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	defer s.arrive()
	if row, ok := s.rows[key]; ok {
		return row, nil
	}
	return platform.Row{}, platform.ErrNotFound
}

// arrive lets late commits take effect, if their conditions still hold.
func (s *store) arrive() {
	late := s.late
	s.late = nil
	for _, ops := range late {
		_ = s.write(ops)
	}
}

func (s *store) Scan(context.Context, string, int) ([]platform.Row, error) {
	return nil, errors.New("not used")
}

func (s *store) Commit(_ context.Context, ops []platform.Op) ([]platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, platform.ErrUnavailable
	}
	if s.dropCommits > 0 {
		s.dropCommits--
		return nil, platform.ErrUncertain
	}
	if s.lateCommits > 0 {
		s.lateCommits--
		s.late = append(s.late, ops)
		return nil, platform.ErrUncertain
	}
	defer s.arrive()
	if err := s.write(ops); err != nil {
		return nil, err
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return nil, platform.ErrUncertain
	}
	return make([]platform.Row, len(ops)), nil
}

func (s *store) write(ops []platform.Op) error {
	for _, op := range ops {
		if row := s.rows[op.Key]; row.Version != op.IfVersion {
			return &platform.ConflictError{Rows: []platform.Row{row}}
		}
	}
	for _, op := range ops {
		s.last++
		if op.Delete {
			delete(s.rows, op.Key)
			continue
		}
		s.rows[op.Key] = platform.Row{Key: op.Key, Value: op.Value, Version: s.last}
	}
	return nil
}

func (s *store) Put(_ context.Context, name string, data []byte) error {
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

// objectStore gives the object store the name Get, which the table also has.
type objectStore struct{ *store }

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

// network connects the VMs of a test in memory.
type network struct {
	mu    sync.Mutex
	vms   map[string]*node // by sibling address
	clock *quartz.Mock
	store *store
}

type node struct {
	*rollout.Syncer
	info   vm.Info
	net    *network
	cut    bool // no exchange reaches it
	blind  bool // knows no sibling yet
	pulls  []uint64
	pushes int
}

func newNetwork(t quartz.TestingT) *network {
	return &network{vms: map[string]*node{}, clock: quartz.NewMock(t), store: newStore()}
}

func (n *network) add(id, region string) *node {
	return n.start(id, region, nil, nil)
}

// list is the platform's list of VMs.
type list []platform.VMEntry

func (l list) List(context.Context) ([]platform.VMEntry, error) { return l, nil }

// start adds a VM. With seeds or a list it knows no sibling by itself.
func (n *network) start(id, region string, seeds []string, vms list) *node {
	v := &node{blind: seeds != nil || vms != nil, net: n, info: vm.Info{ID: vm.ID(id), Region: region, FailureDomain: region + "-a", SiblingAddress: id + ":1"}}
	var changes atomic.Int64
	v.Syncer = rollout.New(rollout.Config{
		Self: v.info, Table: n.store, Objects: objectStore{n.store}, Peers: v, Seeds: seeds, VMs: vms, Clock: n.clock,
		Jitter: func() float64 { return 0.5 },
		Nonce:  func() string { return fmt.Sprintf("%s-%d", id, changes.Add(1)) },
	})
	n.vms[v.info.SiblingAddress] = v
	return v
}

func (v *node) Siblings() []vm.Info {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	var list []vm.Info
	for _, other := range v.net.vms {
		if other != v && !v.blind {
			list = append(list, other.info)
		}
	}
	return list
}

func (v *node) RoundTrip(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
	v.net.mu.Lock()
	other := v.net.vms[to.SiblingAddress]
	lost := other == nil || other.cut || v.cut
	if !lost {
		switch kind := req.Kind.(type) {
		case *siblingpb.Request_PullConfig:
			other.pulls = append(other.pulls, kind.PullConfig.HaveVersion)
		case *siblingpb.Request_PushConfig:
			other.pushes++
		}
	}
	v.net.mu.Unlock()
	if lost {
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

// example returns the document of the Authority, with failure domains out.
func example(out ...string) []byte {
	text, err := os.ReadFile("../../examples/authority.yaml")
	Expect(err).NotTo(HaveOccurred())
	return []byte(strings.Replace(string(text), "out_of_service: []", "out_of_service: ["+strings.Join(out, ", ")+"]", 1))
}

func (v *node) version() uint64 {
	if snap := v.Current(); snap != nil {
		return snap.Version
	}
	return 0
}

// largeDocument has the target size: 1,800 targets in 69 services, 4 regions
// and 11 failure domains.
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
