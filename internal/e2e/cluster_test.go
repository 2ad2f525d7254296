package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/operatorapi"
	platformstandin "goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
)

// domainSpec describes a failure domain and the number of its entry VMs.
type domainSpec struct {
	region, domain string
	vmCount        int
}

// topology describes the parts of a cluster.
type topology struct {
	domains        []domainSpec
	targetsPerPool int      // targets per service and failure domain
	targetArgs     []string // extra arguments of the target stand-ins
	// adjustInitialDocument, if set, changes the initial configuration document.
	adjustInitialDocument func(*inventory.Document)
	// link carries the traffic between regions; nil means direct connections.
	link *netem.Link
}

// entryVM is an entry VM. It keeps its addresses when it is restarted.
type entryVM struct {
	*process
	spec domainSpec // failure domain that the VM is in
	id   string

	// platformAddress is the address of the platform or of a proxy in front of it.
	// The VM listens on the other three.
	callerAddress, operatorAddress, siblingListenAddress, platformAddress string

	advertisedSiblingAddress string // address that the VM gives to its siblings
}

// cluster is a load balancer with its platform and targets. Each of them runs as a
// separate process.
type cluster struct {
	addressOctet    int // octet of the loopback addresses; keeps the ports of clusters apart
	topology        topology
	platformAddress string
	processes       []*process
	vms             []*entryVM
	targets         map[string]inventory.Target // by target name
	initialDocument inventory.Document
	httpClient      *http.Client
}

// freeAddress returns a host and free port on a loopback address that only this
// cluster uses. Outgoing connections use 127.0.0.1 as their source address, so they
// cannot occupy the port while the process that listens on it is restarted.
func (c *cluster) freeAddress(hostNumber int) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", c.addressOctet, hostNumber))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

var listeningLine = regexp.MustCompile(`msg=listening (?:target=(\S+) )?address=(\S+)`)

// startStandin starts a stand-in program and waits until its log has wantAddresses
// lines that match listeningLine. It returns their submatches: the target name,
// which is empty for the platform, and the address.
func (c *cluster) startStandin(name string, wantAddresses int, args ...string) ([][]string, error) {
	p, err := startProcess(name, "goldcresthinge-standin", args...)
	if err != nil {
		return nil, err
	}
	c.processes = append(c.processes, p)
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if found := listeningLine.FindAllStringSubmatch(p.log.String(), -1); len(found) == wantAddresses {
			return found, nil
		}
	}
	return nil, fmt.Errorf("%s did not log the expected number of listening addresses in time; output: %s", name, p.log)
}

// start starts all processes, applies the initial configuration document, and waits
// until every VM is ready and every pool has a holder.
func (c *cluster) start() error {
	c.httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	c.targets = map[string]inventory.Target{}
	found, err := c.startStandin("platform", 1, "platform", "--address", fmt.Sprintf("127.77.%d.250:0", c.addressOctet))
	if err != nil {
		return err
	}
	c.platformAddress = found[0][2]
	lookups, orders := inventory.Service{Name: "lookups"}, inventory.Service{Name: "orders"}
	for domainIndex, d := range c.topology.domains {
		if !slices.ContainsFunc(c.initialDocument.Regions, func(r inventory.Region) bool { return r.Name == d.region }) {
			c.initialDocument.Regions = append(c.initialDocument.Regions, inventory.Region{Name: d.region, Store: domainIndex == 0})
		}
		c.initialDocument.FailureDomains = append(c.initialDocument.FailureDomains, inventory.FailureDomain{Name: d.domain, Region: d.region})
		for serviceIndex, s := range []*inventory.Service{&lookups, &orders} {
			if err := c.startTargets(s, d, 100+2*domainIndex+serviceIndex); err != nil {
				return err
			}
		}
		for range d.vmCount {
			if err := c.addVM(d); err != nil {
				return err
			}
		}
	}
	c.initialDocument.Services = []inventory.Service{lookups, orders}
	c.initialDocument.Rules.Routes = []inventory.Route{
		{Name: "certificates", PathPrefix: "/certificates", Methods: []string{"GET"}, Service: "lookups"},
		{Name: "suspensions", PathPrefix: "/suspensions", Methods: []string{"POST"}, Service: "orders", NonIdempotent: true},
	}
	if c.topology.adjustInitialDocument != nil {
		c.topology.adjustInitialDocument(&c.initialDocument)
	}
	return c.applyInitialDocument()
}

// startTargets starts the target stand-ins of a service in a failure domain and
// adds them to the service.
func (c *cluster) startTargets(s *inventory.Service, d domainSpec, hostNumber int) error {
	name := s.Name + "-" + d.domain
	args := append([]string{
		"target", "--address", fmt.Sprintf("127.77.%d.%d:0", c.addressOctet, hostNumber), "--count", fmt.Sprint(c.topology.targetsPerPool),
		"--service", name, "--region", d.region, "--failure-domain", d.domain,
	}, c.topology.targetArgs...)
	found, err := c.startStandin(name, c.topology.targetsPerPool, args...)
	if err != nil {
		return err
	}
	for _, f := range found {
		t := inventory.Target{Name: f[1], Address: f[2], FailureDomain: d.domain}
		s.Targets = append(s.Targets, t)
		c.targets[t.Name] = t
	}
	return nil
}

// addVM adds an entry VM to the cluster and starts it.
func (c *cluster) addVM(d domainSpec, args ...string) error {
	v := &entryVM{spec: d, id: fmt.Sprintf("vm-%s-%d", d.domain, len(c.vms)+1), platformAddress: c.platformAddress}
	for _, a := range []*string{&v.callerAddress, &v.operatorAddress, &v.siblingListenAddress} {
		var err error
		if *a, err = c.freeAddress(len(c.vms) + 1); err != nil {
			return err
		}
	}
	v.advertisedSiblingAddress = v.siblingListenAddress
	if c.topology.link != nil {
		// Both proxies of a VM count bytes that leave its region as BToA.
		proxy, err := c.topology.link.StartProxy("127.0.0.1:0", v.siblingListenAddress, netem.AToB)
		if err != nil {
			return err
		}
		v.advertisedSiblingAddress = proxy.Address()
		if len(c.vms) > 0 { // the first VM is in the region of the store and needs no proxy
			if proxy, err = c.topology.link.StartProxy("127.0.0.1:0", c.platformAddress, netem.BToA); err != nil {
				return err
			}
			v.platformAddress = proxy.Address()
		}
	}
	c.vms = append(c.vms, v)
	return c.startVM(v, args...)
}

// startVM starts the process of an entry VM. The VM must not be running; it may
// have run before.
func (c *cluster) startVM(v *entryVM, args ...string) error {
	p, err := startProcess(v.id, "goldcresthinged", append([]string{
		"--id", v.id, "--region", v.spec.region, "--failure-domain", v.spec.domain,
		"--caller-listen", v.callerAddress, "--operator-listen", v.operatorAddress, "--sibling-listen", v.siblingListenAddress,
		"--sibling-address", v.advertisedSiblingAddress, "--platform", "http://" + v.platformAddress,
	}, args...)...)
	if err != nil {
		return err
	}
	v.process = p
	c.processes = append(c.processes, p)
	return nil
}

// applyInitialDocument applies the initial configuration document as version 1, and
// waits until every VM is ready and sees a holder for every pool.
func (c *cluster) applyInitialDocument() error {
	deadline := time.Now().Add(startTimeout)
	for c.get(c.vms[0].operatorAddress, "/v1/healthz", nil) != nil && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
	code, out, err := c.runCtl(c.vms[0], "apply", "--base", "0", "--wait", "10s", c.writeDocument("first", c.initialDocument))
	if err != nil || code != 0 {
		return fmt.Errorf("applying configuration version 1: exit code %d, %w; output:\n%s", code, err, out)
	}
	// The configuration has two services, each with at least one pool; holders
	// returns nil if a pool has no holder.
	for ; time.Now().Before(deadline); time.Sleep(pollInterval) {
		if !slices.ContainsFunc(c.vms, func(v *entryVM) bool { return !c.isReady(v) || len(c.holders(v, "")) < 2 }) {
			return nil
		}
	}
	return errors.New("timed out: at least one VM is not ready or sees a pool without a holder")
}

// killAll kills every process of the cluster and closes the link between regions.
func (c *cluster) killAll() {
	for _, p := range c.processes {
		p.kill()
	}
	if c.topology.link != nil {
		c.topology.link.Close()
	}
}

// dumpLogs adds the logs of all VMs to the report if the current spec failed.
func (c *cluster) dumpLogs() {
	if CurrentSpecReport().Failed() {
		for _, v := range c.vms {
			AddReportEntry(v.id, v.log.String())
		}
	}
}

// writeDocument writes a configuration document as YAML to a file in programDir and
// returns its path.
func (c *cluster) writeDocument(name string, d inventory.Document) string {
	data, err := yaml.Marshal(d)
	if err == nil {
		name = filepath.Join(programDir, fmt.Sprintf("%d-%s.yaml", c.addressOctet, name))
		err = os.WriteFile(name, data, 0o600)
	}
	if err != nil {
		panic(err)
	}
	return name
}

// runCtl runs goldcresthingectl against a VM and returns its exit code and output.
// A non-zero exit code is not an error, but a run longer than toolTimeout is.
func (c *cluster) runCtl(v *entryVM, args ...string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), toolTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(programDir, "goldcresthingectl"), append([]string{"--address", v.operatorAddress}, args...)...)
	out, err := cmd.CombinedOutput()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		err = ctx.Err()
	}
	return cmd.ProcessState.ExitCode(), string(out), err
}

// sendJSON sends body as JSON and stores the response in into: as text if into is a
// *string, decoded from JSON otherwise, or not at all if it is nil. Any status other
// than 200 is an error.
func (c *cluster) sendJSON(method, address, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s", resp.Status, responseBody)
	}
	switch into := into.(type) {
	case nil:
		return nil
	case *string:
		*into = string(responseBody)
		return nil
	default:
		return json.Unmarshal(responseBody, into)
	}
}

func (c *cluster) get(address, path string, into any) error {
	return c.sendJSON(http.MethodGet, address, path, nil, into)
}

func (c *cluster) isReady(v *entryVM) bool { return c.get(v.operatorAddress, "/v1/readyz", nil) == nil }

// holders returns the ids of the holders of a service's pools as VM v reports them,
// keyed by failure domain. If service is empty it returns the holders of all pools,
// keyed by SERVICE@DOMAIN, or nil if any pool has no holder. It also returns nil if
// v does not respond.
func (c *cluster) holders(v *entryVM, service string) map[string]string {
	var list []operatorapi.Holder
	if c.get(v.operatorAddress, "/v1/holders", &list) != nil {
		return nil
	}
	holderIDs := map[string]string{}
	for _, h := range list {
		switch {
		case service == "" && h.Holder == "":
			return nil
		case service == "":
			holderIDs[h.Service+"@"+h.FailureDomain] = h.Holder
		case h.Service == service && h.Holder != "":
			holderIDs[h.FailureDomain] = h.Holder
		}
	}
	return holderIDs
}

func (c *cluster) vmByID(id string) *entryVM {
	i := slices.IndexFunc(c.vms, func(v *entryVM) bool { return v.id == id })
	Expect(i).To(BeNumerically(">=", 0), id)
	return c.vms[i]
}

// setPlatformFaults replaces the faults of the platform stand-in. Without arguments
// it ends all faults.
func (c *cluster) setPlatformFaults(faults ...platformstandin.Fault) {
	GinkgoHelper()
	if faults == nil {
		faults = []platformstandin.Fault{}
	}
	Expect(c.sendJSON(http.MethodPost, c.platformAddress, platformstandin.PathFaults, platformstandin.Conditions{Faults: faults}, nil)).To(Succeed())
}

// targetRecords returns the records of calls of all targets whose names start with
// prefix.
func (c *cluster) targetRecords(prefix string) []fakebackend.Record {
	GinkgoHelper()
	var records []fakebackend.Record
	for name, t := range c.targets {
		if strings.HasPrefix(name, prefix) {
			var r fakebackend.Record
			// A target that is down does not respond until it is up again.
			Eventually(func() error { return c.get(t.Address, "/record", &r) }, waitTimeout, pollInterval).Should(Succeed())
			records = append(records, r)
		}
	}
	return records
}
