package lease

import (
	"fmt"
	"hash"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Short names for the states of a lease row.
const (
	active   = siblingpb.LeaseState_LEASE_STATE_ACTIVE
	revoked  = siblingpb.LeaseState_LEASE_STATE_REVOKED
	released = siblingpb.LeaseState_LEASE_STATE_RELEASED
)

const vmPrefix = "vm/"

func vmKey(region string, id vm.ID) string    { return vmPrefix + region + "/" + string(id) }
func poolsKey(region, domain string) string   { return poolsPrefix(region) + domain }
func poolsPrefix(region string) string        { return "pools/" + region + "/" }
func splitKey(key string) (region, id string) { return cutSlash(strings.TrimPrefix(key, vmPrefix)) }

func cutSlash(s string) (string, string) {
	a, b, _ := strings.Cut(s, "/")
	return a, b
}

// leaseRow is a decoded lease row as last read.
type leaseRow struct {
	*siblingpb.LeaseRow
	key     string
	region  string
	version uint64
}

func (r leaseRow) info() vm.Info {
	return vm.Info{
		ID: vm.ID(r.VmId), Incarnation: r.Incarnation, Region: r.region,
		FailureDomain: r.FailureDomain, SiblingAddress: r.SiblingAddress,
	}
}

// domainRow is the decoded assignment row of one failure domain as last read.
type domainRow struct {
	version uint64
	pools   map[string]*siblingpb.Assignment // by name of the service
}

func decodeLease(row platform.Row) (leaseRow, error) {
	m := &siblingpb.LeaseRow{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		return leaseRow{}, fmt.Errorf("decode lease row %s: %w", row.Key, err)
	}
	region, _ := splitKey(row.Key)
	return leaseRow{LeaseRow: m, key: row.Key, region: region, version: row.Version}, nil
}

func decodeDomain(row platform.Row) (domainRow, error) {
	m := &siblingpb.AssignmentRow{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		return domainRow{}, fmt.Errorf("decode assignment row %s: %w", row.Key, err)
	}
	d := domainRow{version: row.Version, pools: make(map[string]*siblingpb.Assignment, len(m.Pools))}
	for _, a := range m.Pools {
		d.pools[a.Service] = a
	}
	return d, nil
}

// encode returns the row with the entries in changed added, or replaced where
// the service already has an entry.
func (d domainRow) encode(changed map[string]*siblingpb.Assignment) []byte {
	m := &siblingpb.AssignmentRow{}
	for s, a := range d.pools {
		if changed[s] == nil {
			m.Pools = append(m.Pools, a)
		}
	}
	for _, a := range changed {
		m.Pools = append(m.Pools, a)
	}
	slices.SortFunc(m.Pools, func(a, b *siblingpb.Assignment) int { return strings.Compare(a.Service, b.Service) })
	return encode(m)
}

// encode marshals a message that this package built. It panics if marshaling
// fails, which no field of such a message can cause.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("lease: marshal table row: %v", err))
	}
	return b
}

// hashAssignments returns a hash of the holders and epochs in all assignment
// rows that does not depend on their order. It is limited to 32 bits to keep
// heartbeats small; a collision only delays the next scan.
func hashAssignments(rows map[string]domainRow) uint64 {
	var sum uint64
	for domain, d := range rows {
		for service, a := range d.pools {
			h := xxhash.New()
			hashStrings(h, domain, service)
			_, _ = fmt.Fprintf(h, "%x %x", a.Incarnation, a.Epoch)
			sum += h.Sum64()
		}
	}
	return sum & (1<<32 - 1)
}

// hashStrings writes each string, followed by a zero byte, to h.
func hashStrings(h hash.Hash, parts ...string) {
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
}

func comparePoolIDs(a, b inventory.PoolID) int {
	if c := strings.Compare(a.FailureDomain, b.FailureDomain); c != 0 {
		return c
	}
	return strings.Compare(a.Service, b.Service)
}
