package rollout

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

const (
	// storeTimeout bounds one read of the store, so that a store that hangs
	// does not delay pulls from siblings.
	storeTimeout = 1500 * time.Millisecond
	// siblingTimeout bounds one exchange with a sibling.
	siblingTimeout = time.Second
	// maxDeltaReads bounds the delta rows read one by one. Above it the whole
	// document is read.
	maxDeltaReads = 16
	// maxExchanges bounds concurrent exchanges with siblings.
	maxExchanges = 16
	// maxListed bounds the VMs of the platform's list that are asked in one
	// round, since the list may also hold backend servers.
	maxListed = 128
)

// versionOnly is a pull that gets no deltas, only the version of the sibling.
const versionOnly = math.MaxUint64

// errGap means that a delta starts at a version that is not in force here.
var errGap = errors.New("delta does not start at the version in force")

// readFull reads the whole document of a head from the object store.
func (s *Syncer) readFull(ctx context.Context, head headRow) (*version, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	data, err := s.Objects.Get(ctx, fullName(head.Version, head.Digest))
	if err != nil {
		return nil, merry.Prependf(err, "read document of version %d", head.Version)
	}
	return decodeFull(head.Version, data, head.Digest)
}

func decodeFull(number uint64, data []byte, digest string) (*version, error) {
	text, err := inventory.Decompress(data)
	if err != nil {
		return nil, err
	}
	if inventory.Digest(text) != digest {
		return nil, merry.Prependf(inventory.ErrDigest, "version %d", number)
	}
	doc, err := inventory.Parse(text)
	if err != nil {
		return nil, merry.Prependf(err, "version %d", number)
	}
	return newVersion(number, doc, text, digest), nil
}

// take installs a delta or a whole document. A version that is not higher than
// the one in force is no error and changes nothing.
func (s *Syncer) take(d *siblingpb.ConfigDelta) error {
	current := s.current.Load()
	if current != nil && current.snap.Version >= d.ToVersion {
		return nil
	}
	if d.FromVersion == 0 {
		v, err := decodeFull(d.ToVersion, d.Document, d.Digest)
		if err != nil {
			return err
		}
		s.install(v, nil)
		return nil
	}
	if current == nil || current.snap.Version != d.FromVersion || d.ToVersion != d.FromVersion+1 {
		return errGap
	}
	doc, text, err := inventory.ApplyDelta(current.snap.Document, d.Document, d.Digest)
	if err != nil {
		s.Metrics.Counter("config_delta_misfits").Inc(1)
		return merry.Prependf(err, "delta to version %d", d.ToVersion)
	}
	s.install(newVersion(d.ToVersion, doc, text, d.Digest), d)
	return nil
}

// fetchFromStore brings this VM to the version of a head.
func (s *Syncer) fetchFromStore(ctx context.Context, head headRow) error {
	if err := s.fetchDeltas(ctx, head); err == nil {
		return nil
	}
	v, err := s.readFull(ctx, head)
	if err != nil {
		return err
	}
	s.install(v, nil)
	return nil
}

func (s *Syncer) fetchDeltas(ctx context.Context, head headRow) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	current := s.Current()
	if current == nil || head.Version > current.Version+maxDeltaReads {
		return errGap
	}
	for v := current.Version + 1; v <= head.Version; v++ {
		row, err := readDelta(ctx, s.Table, v)
		if err != nil {
			return err
		}
		if row.Delta == nil {
			return errGap
		}
		if err := s.take(&siblingpb.ConfigDelta{FromVersion: v - 1, ToVersion: v, Document: row.Delta, Digest: row.Digest}); err != nil {
			return err
		}
	}
	return nil
}

// pull asks one sibling for the versions missing here. If a delta does not
// fit, it asks for the whole document.
func (s *Syncer) pull(ctx context.Context, from vm.Info) error {
	var have uint64
	if current := s.Current(); current != nil {
		have = current.Version
	}
	answer, err := s.askPull(ctx, from, have)
	if err != nil {
		return err
	}
	err = s.takeAll(answer)
	if err == nil || have == 0 {
		return err
	}
	s.log("msg", "delta does not fit, whole document needed", "from", from.ID, "err", err)
	if answer, err = s.askPull(ctx, from, 0); err != nil {
		return err
	}
	return s.takeAll(answer)
}

func (s *Syncer) takeAll(answer *siblingpb.ConfigDeltas) error {
	for _, d := range answer.Deltas {
		if err := s.take(d); err != nil {
			return err
		}
	}
	return nil
}

func (s *Syncer) askPull(ctx context.Context, from vm.Info, have uint64) (*siblingpb.ConfigDeltas, error) {
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	sent := s.Clock.Now()
	response, err := s.Peers.RoundTrip(ctx, from, &siblingpb.Request{
		Kind: &siblingpb.Request_PullConfig{PullConfig: &siblingpb.PullConfig{HaveVersion: have}},
	})
	if err != nil {
		return nil, merry.Prependf(err, "pull from %s", from.SiblingAddress)
	}
	answer := response.GetConfig()
	if answer == nil {
		return nil, merry.Errorf("pull from %s: unexpected response", from.SiblingAddress)
	}
	if answer.VmId != "" {
		from.ID = vm.ID(answer.VmId)
		from.Region, from.FailureDomain = answer.Region, answer.FailureDomain
		s.ObserveSibling(sent, from, answer.CurrentVersion, AgeFromWire(answer.ConfirmedAgeMs))
	}
	return answer, nil
}

// askAll asks VMs for their versions, in parallel. Each one that responds is
// noted in progress.
func (s *Syncer) askAll(ctx context.Context, vms []vm.Info) {
	var g errgroup.Group
	g.SetLimit(maxExchanges)
	for _, v := range vms {
		g.Go(func() error {
			_, err := s.askPull(ctx, v, versionOnly)
			return err
		})
	}
	_ = g.Wait() // a VM that does not respond is reported as not heard of
}

// pullHighest pulls from siblings until the highest version seen is in force.
// If nobody gives that one, the highest that somebody gives is taken.
func (s *Syncer) pullHighest(ctx context.Context) error {
	s.mu.Lock()
	highest, sources := s.progress.highest, s.progress.sources(s.Self.Region)
	s.mu.Unlock()
	var errs []error
	for _, from := range sources {
		if s.has(highest) {
			return nil
		}
		if err := s.pull(ctx, from); err != nil {
			errs = append(errs, err)
		}
	}
	if s.has(highest) {
		return nil
	}
	return errors.Join(append(errs, fmt.Errorf("no sibling gave version %d", highest))...)
}

// has reports whether version or a higher one is in force.
func (s *Syncer) has(version uint64) bool {
	current := s.Current()
	return version == 0 || (current != nil && current.Version >= version)
}

// everyone returns all VMs that may be asked: known siblings, the seeds and the
// platform's list, each once, without this VM.
func (s *Syncer) everyone(ctx context.Context) []vm.Info {
	vms := s.Peers.Siblings()
	addresses, ids := map[string]bool{s.Self.SiblingAddress: true}, map[vm.ID]bool{s.Self.ID: true}
	for _, v := range vms {
		addresses[v.SiblingAddress], ids[v.ID] = true, true
	}
	add := func(id vm.ID, address string) {
		if !addresses[address] && !ids[id] {
			addresses[address], ids[id] = true, true
			vms = append(vms, vm.Info{ID: id, SiblingAddress: address})
		}
	}
	listed := s.entryVMs(s.readList(ctx))
	names := map[string]vm.ID{}
	for _, e := range listed {
		names[e.Address] = vm.ID(e.Name)
	}
	for _, address := range s.Seeds {
		add(lo.CoalesceOrEmpty(names[address], vm.ID(address)), address)
	}
	for _, e := range listed {
		add(vm.ID(e.Name), e.Address)
	}
	return vms
}

// entryVMs drops entries that are not entry VMs, and keeps at most maxListed,
// others each time.
func (s *Syncer) entryVMs(listed []platform.VMEntry) []platform.VMEntry {
	isEntryVM := s.IsEntryVM
	if isEntryVM == nil {
		targets := map[string]bool{}
		if snap := s.Current(); snap != nil {
			for _, service := range snap.Document.Services {
				for _, t := range service.Targets {
					targets[t.Address] = true
				}
			}
		}
		isEntryVM = func(e platform.VMEntry) bool { return !targets[e.Address] }
	}
	vms := lo.Filter(listed, func(e platform.VMEntry, _ int) bool { return isEntryVM(e) })
	if len(vms) <= maxListed {
		return vms
	}
	first := int(s.Jitter() * float64(len(vms)))
	return append(slices.Clone(vms[first:]), vms[:first]...)[:maxListed]
}
