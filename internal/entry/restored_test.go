package entry_test

import (
	"fmt"
	"strings"
	"testing"

	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// restore makes the store refuse all calls and come back from a copy.
func (d *deployment) restore(c platformtest.StoreCopy) {
	d.storeClient.SetFaults(platformtest.StoreFaults{Unavailable: true})
	d.store.Restore(c)
	d.storeClient.SetFaults(platformtest.StoreFaults{})
}

// heartbeats lets all servers write their rows.
func (d *deployment) heartbeats() {
	for _, s := range d.servers {
		d.must(s.Register(d.store))
	}
}

// servedIn returns the number of requests that servers of a failure domain have run.
func (d *deployment) servedIn(domain string) (sum int64) {
	for _, s := range d.servers {
		if s.FailureDomain == domain {
			sum += d.servedByServer(s.ID)
		}
	}
	return sum
}

// avoids lets a VM answer some requests and reports whether none of them reached a failure domain.
func (d *deployment) avoids(n *entryVM, domain string) bool {
	before, answered := d.servedIn(domain), 0
	for answered < 20 {
		if d.status(n.callerAddress, "/not-idempotent/x") == 200 {
			answered++
		}
	}
	return d.servedIn(domain) == before
}

// logs reports whether a VM has logged a text.
func (d *deployment) logs(vm int, text string) bool {
	for _, line := range strings.Split(d.rolloutLog.String(), "\n") {
		if strings.Contains(line, fmt.Sprintf("vm=vm-%d ", vm)) && strings.Contains(line, text) {
			return true
		}
	}
	return false
}

// Guards against VMs that undo an evacuation and a configuration that were confirmed, because the store
// comes back from a copy from before, also at a VM that starts afterwards and reads nothing else.
func TestWhatOperatorsWroteSurvivesTheReturnOfTheStore(t *testing.T) {
	d := newDeployment(t)
	saved := d.store.Copy()
	d.must(d.store.Evacuate("b"))
	d.configure(2)
	for _, n := range d.vms {
		d.eventually("the VMs follow the evacuation", func() bool { return d.avoids(n, "b") })
		d.eventually("the VMs have the new configuration", func() bool { return d.status(n.callerAddress, "/v2/x") == 200 })
	}
	d.restore(saved)
	d.heartbeats()
	for i, n := range d.vms {
		d.eventually("the VMs know that the store came back", func() bool {
			return d.logs(i, "store came back from a copy without this evacuation")
		})
		if !d.avoids(n, "b") {
			t.Errorf("vm-%d sends requests to the failure domain that is out of service", i)
		}
		if status := d.status(n.callerAddress, "/v2/x"); status != 200 {
			t.Errorf("vm-%d answers a request of the new configuration with %d", i, status)
		}
	}
	d.start("b")
	started := d.vms[len(d.vms)-1]
	d.eventually("the VM that has started has the new configuration", func() bool { return d.status(started.callerAddress, "/v2/x") == 200 })
	d.eventually("the VM that has started follows the evacuation", func() bool { return d.avoids(started, "b") })
	d.store.Remove(platform.TableOperator, "evacuate/b")
	d.configure(3)
	d.eventually("the failure domain is used again", func() bool { return !d.avoids(started, "b") })
	for _, n := range d.vms {
		d.eventually("the VMs follow the store", func() bool { return d.status(n.callerAddress, "/v3/x") == 200 })
	}
	d.checkNoRequestRanTwice()
}

// Guards against a key that works again because the store comes back from a copy from before it was
// taken away, in one drill or in two.
func TestKeyStaysRevokedWhenTheStoreComesBack(t *testing.T) {
	d, own := newTeamDeployment(t)
	copies := []platformtest.StoreCopy{d.store.Copy(), d.store.Copy()}
	d.configureTeams(2, "k1")
	for _, n := range d.vms {
		d.eventually("the key is revoked", func() bool { return d.callWithKey(n, "/keyed/x", "k2") == 401 })
	}
	for _, c := range copies {
		own.SetFaults(platformtest.StoreFaults{Unavailable: true})
		d.restore(c)
		own.SetFaults(platformtest.StoreFaults{})
		d.start("a")
		for i, n := range d.vms {
			// VMs that have just started learn of it from the others.
			d.eventually("the VM knows that the key is revoked", func() bool {
				status := d.callWithKey(n, "/keyed/x", "k2")
				if status == 200 {
					t.Errorf("vm-%d serves a request with the revoked key", i)
				}
				return status == 401
			})
			d.eventually("the other key works", func() bool { return d.callWithKey(n, "/keyed/x", "k1") == 200 })
		}
	}
	d.configureTeams(3, "k1", "k3")
	for _, n := range d.vms {
		d.eventually("a new key works", func() bool { return d.callWithKey(n, "/keyed/x", "k3") == 200 })
	}
}

// Guards against VMs that the store does not know any longer, because it came back from a copy without
// their rows, and against one that is known by the row of its process before.
func TestVMsRegisterAgainWhenTheStoreLostTheirRows(t *testing.T) {
	d := newDeployment(t)
	saved := d.store.Copy()
	d.start("b")
	vm := fmt.Sprintf("vm-%d", len(d.vms)-1)
	d.eventually("the VM is registered", func() bool { return d.store.Get(platform.TableVMs, vm) != nil })
	d.restore(saved)
	if d.store.Get(platform.TableVMs, vm) != nil {
		t.Fatal("the copy has the row of the VM")
	}
	d.eventually("the VM is registered again", func() bool { return d.store.Get(platform.TableVMs, vm) != nil })
}

// Guards against VMs that do not follow a store that states no era, or take its lost history for a return
// from a copy.
func TestVMsFollowAStoreWithoutEras(t *testing.T) {
	store := platformtest.NewStore()
	store.WithoutEra = true
	d := newDeploymentWith(t, store)
	d.must(d.store.Evacuate("b"))
	d.configure(2)
	for _, n := range d.vms {
		d.eventually("the VMs follow the evacuation", func() bool { return d.avoids(n, "b") })
		d.eventually("the VMs have the new configuration", func() bool { return d.status(n.callerAddress, "/v2/x") == 200 })
	}
	d.store.Return("b")
	d.store.Compact()
	d.configure(3)
	d.eventually("the failure domain is used again", func() bool { return !d.avoids(d.vms[2], "b") })
	for i, n := range d.vms {
		d.eventually("the VMs have the third configuration", func() bool { return d.status(n.callerAddress, "/v3/x") == 200 })
		if d.logs(i, "came back from a copy") {
			t.Errorf("vm-%d takes the store for one that came back from a copy", i)
		}
	}
}
