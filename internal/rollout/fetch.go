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
	// storeReadTimeout limits one read of the store, so a store that does not
	// answer does not delay pulls from siblings.
	storeReadTimeout = 1500 * time.Millisecond
	// exchangeTimeout limits one exchange with a sibling.
	exchangeTimeout = time.Second
	// maxDeltaReads is the maximum number of delta rows that are read one by
	// one. If more are missing, the whole document is read.
	maxDeltaReads = 16
	// maxConcurrentExchanges limits the concurrent exchanges with siblings.
	maxConcurrentExchanges = 16
	// maxListedVMs limits the VMs of the platform's list that are queried at a
	// time, since the list may also contain backend servers.
	maxListedVMs = 128
)

// versionOnly is the HaveVersion of a pull whose response contains no deltas,
// only the version of the sibling.
const versionOnly = math.MaxUint64

// errVersionGap means that a version cannot be reached by deltas: a delta does
// not lead from the version in force at this VM to the next one, no version is
// in force, more than maxDeltaReads deltas are missing, or a delta row contains
// no delta. The text is part of the answer to a pushed delta.
var errVersionGap = errors.New("delta does not start at the version in force")

// readDocument reads the whole document of the version that head names from the
// object store.
func (s *Syncer) readDocument(ctx context.Context, head headRow) (*configVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	data, err := s.Objects.Get(ctx, documentName(head.Version, head.Digest))
	if err != nil {
		return nil, merry.Prependf(err, "read document of version %d", head.Version)
	}
	return decodeDocument(head.Version, data, head.Digest)
}

func decodeDocument(number uint64, data []byte, digest string) (*configVersion, error) {
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
	return newConfigVersion(number, doc, text, digest), nil
}

// installDelta installs a delta or a whole document. If its version is not
// higher than the one in force, it changes nothing and returns nil.
func (s *Syncer) installDelta(d *siblingpb.ConfigDelta) error {
	current := s.current.Load()
	if current != nil && current.snap.Version >= d.ToVersion {
		return nil
	}
	if d.FromVersion == 0 {
		v, err := decodeDocument(d.ToVersion, d.Document, d.Digest)
		if err != nil {
			return err
		}
		s.install(v, nil)
		return nil
	}
	if current == nil || current.snap.Version != d.FromVersion || d.ToVersion != d.FromVersion+1 {
		return errVersionGap
	}
	doc, text, err := inventory.ApplyDelta(current.snap.Document, d.Document, d.Digest)
	if err != nil {
		s.Metrics.Counter("config_delta_misfits").Inc(1)
		return merry.Prependf(err, "delta to version %d", d.ToVersion)
	}
	s.install(newConfigVersion(d.ToVersion, doc, text, d.Digest), d)
	return nil
}

// fetchFromStore installs the version that head names, by the delta rows if
// possible. After any error of these, it uses the whole document instead, so
// the error is not returned.
func (s *Syncer) fetchFromStore(ctx context.Context, head headRow) error {
	if err := s.fetchDeltas(ctx, head); err == nil {
		return nil
	}
	v, err := s.readDocument(ctx, head)
	if err != nil {
		return err
	}
	s.install(v, nil)
	return nil
}

func (s *Syncer) fetchDeltas(ctx context.Context, head headRow) error {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	current := s.Current()
	if current == nil || head.Version > current.Version+maxDeltaReads {
		return errVersionGap
	}
	for v := current.Version + 1; v <= head.Version; v++ {
		row, err := readDelta(ctx, s.Table, v)
		if err != nil {
			return err
		}
		if row.Delta == nil {
			return errVersionGap
		}
		if err := s.installDelta(&siblingpb.ConfigDelta{FromVersion: v - 1, ToVersion: v, Document: row.Delta, Digest: row.Digest}); err != nil {
			return err
		}
	}
	return nil
}

// pull asks one sibling for the versions that this VM does not have, and
// installs them. If a delta can't be applied, it asks for the whole document.
func (s *Syncer) pull(ctx context.Context, from vm.Info) error {
	var have uint64
	if current := s.Current(); current != nil {
		have = current.Version
	}
	answer, err := s.sendPull(ctx, from, have)
	if err != nil {
		return err
	}
	err = s.installAll(answer)
	if err == nil || have == 0 {
		return err
	}
	s.log("msg", "pulled delta cannot be applied, pulling the whole document", "from", from.ID, "err", err)
	if answer, err = s.sendPull(ctx, from, 0); err != nil {
		return err
	}
	return s.installAll(answer)
}

func (s *Syncer) installAll(answer *siblingpb.ConfigDeltas) error {
	for _, d := range answer.Deltas {
		if err := s.installDelta(d); err != nil {
			return err
		}
	}
	return nil
}

func (s *Syncer) sendPull(ctx context.Context, from vm.Info, have uint64) (*siblingpb.ConfigDeltas, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
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
		return nil, merry.Errorf("pull from %s: response has no configuration", from.SiblingAddress)
	}
	if answer.VmId != "" {
		from.ID = vm.ID(answer.VmId)
		from.Region, from.FailureDomain = answer.Region, answer.FailureDomain
		s.ObserveSibling(sent, from, answer.CurrentVersion, DecodeAge(answer.ConfirmedAgeMs))
	}
	return answer, nil
}

// queryVersions asks VMs for their versions, in parallel. The version of each
// VM that responds is recorded in progress.
func (s *Syncer) queryVersions(ctx context.Context, vms []vm.Info) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentExchanges)
	for _, v := range vms {
		g.Go(func() error {
			_, err := s.sendPull(ctx, v, versionOnly)
			return err
		})
	}
	_ = g.Wait() // a VM that does not respond is reported as unreachable
}

// pullHighest pulls from siblings until the highest version seen is in force.
// If no sibling sends that one, the highest version that a sibling sends is
// installed and an error is returned.
func (s *Syncer) pullHighest(ctx context.Context) error {
	s.mu.Lock()
	highest, sources := s.progress.highest, s.progress.pullSources(s.Self.Region)
	s.mu.Unlock()
	var errs []error
	for _, from := range sources {
		if s.hasVersion(highest) {
			return nil
		}
		if err := s.pull(ctx, from); err != nil {
			errs = append(errs, err)
		}
	}
	if s.hasVersion(highest) {
		return nil
	}
	return errors.Join(append(errs, fmt.Errorf("no sibling sent version %d", highest))...)
}

// hasVersion reports whether version or a higher one is in force.
func (s *Syncer) hasVersion(version uint64) bool {
	current := s.Current()
	return version == 0 || (current != nil && current.Version >= version)
}

// knownVMs returns all VMs that can be queried, except this one and without
// duplicates: the known siblings, the seeds and the entry VMs of the platform's
// list. A seed that the list does not contain gets its address as ID.
func (s *Syncer) knownVMs(ctx context.Context) []vm.Info {
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
	listed := s.entryVMs(s.listVMs(ctx))
	nameByAddress := map[string]vm.ID{}
	for _, e := range listed {
		nameByAddress[e.Address] = vm.ID(e.Name)
	}
	for _, address := range s.Seeds {
		add(lo.CoalesceOrEmpty(nameByAddress[address], vm.ID(address)), address)
	}
	for _, e := range listed {
		add(vm.ID(e.Name), e.Address)
	}
	return vms
}

// entryVMs returns the entries that are entry VMs. If IsEntryVM is nil, every
// entry counts as one unless it has the address of a target. If there are more
// than maxListedVMs, it returns that many, starting at a random one, so
// repeated queries reach different VMs.
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
	if len(vms) <= maxListedVMs {
		return vms
	}
	offset := int(s.Jitter() * float64(len(vms)))
	return append(slices.Clone(vms[offset:]), vms[:offset]...)[:maxListedVMs]
}
