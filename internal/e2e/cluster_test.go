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
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
)

// place is a failure domain with its entry VMs.
type place struct {
	region, domain string
	vms            int
}

// topology says what a cluster consists of.
type topology struct {
	places  []place
	targets int      // per service and failure domain
	args    []string // of the target stand-ins
	rules   func(*inventory.Document)
	link    *netem.Link // between the regions; nil: none
}

// entryVM is an entry VM. Its addresses stay the same when it is restarted.
type entryVM struct {
	*process
	place                            place
	id                               string
	caller, operator, sibling, store string
	announced                        string // address that siblings are told
}

// cluster is a running system of separate processes.
type cluster struct {
	number    int // part of the addresses, so that clusters share no port
	topology  topology
	platform  string
	processes []*process
	vms       []*entryVM
	targets   map[string]inventory.Target // by name
	document  inventory.Document
	http      *http.Client
}

// address returns a free port on a loopback address of this cluster alone.
// Outgoing connections leave from 127.0.0.1 and so never take the port while
// a process that listens on it is restarted.
func (c *cluster) address(host int) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", c.number, host))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

var listening = regexp.MustCompile(`msg=listening (?:target=(\S+) )?address=(\S+)`)

// startStandin starts a stand-in and returns the addresses that it names.
func (c *cluster) startStandin(name string, n int, args ...string) ([][]string, error) {
	p, err := startProcess(name, "goldcresthinge-standin", args...)
	if err != nil {
		return nil, err
	}
	c.processes = append(c.processes, p)
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if found := listening.FindAllStringSubmatch(p.log.String(), -1); len(found) == n {
			return found, nil
		}
	}
	return nil, fmt.Errorf("%s does not listen: %s", name, p.log)
}

// start starts all processes and waits until every VM is ready and every pool
// has a holder.
func (c *cluster) start() error {
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	c.targets = map[string]inventory.Target{}
	found, err := c.startStandin("platform", 1, "platform", "--address", fmt.Sprintf("127.77.%d.250:0", c.number))
	if err != nil {
		return err
	}
	c.platform = found[0][2]
	lookups, orders := inventory.Service{Name: "lookups"}, inventory.Service{Name: "orders"}
	for i, p := range c.topology.places {
		if !slices.ContainsFunc(c.document.Regions, func(r inventory.Region) bool { return r.Name == p.region }) {
			c.document.Regions = append(c.document.Regions, inventory.Region{Name: p.region, Store: i == 0})
		}
		c.document.FailureDomains = append(c.document.FailureDomains, inventory.FailureDomain{Name: p.domain, Region: p.region})
		for j, s := range []*inventory.Service{&lookups, &orders} {
			if err := c.startTargets(s, p, 100+2*i+j); err != nil {
				return err
			}
		}
		for range p.vms {
			if err := c.addVM(p); err != nil {
				return err
			}
		}
	}
	c.document.Services = []inventory.Service{lookups, orders}
	c.document.Rules.Routes = []inventory.Route{
		{Name: "certificates", PathPrefix: "/certificates", Methods: []string{"GET"}, Service: "lookups"},
		{Name: "suspensions", PathPrefix: "/suspensions", Methods: []string{"POST"}, Service: "orders", NonIdempotent: true},
	}
	if c.topology.rules != nil {
		c.topology.rules(&c.document)
	}
	return c.firstVersion()
}

func (c *cluster) startTargets(s *inventory.Service, p place, host int) error {
	name := s.Name + "-" + p.domain
	args := append([]string{
		"target", "--address", fmt.Sprintf("127.77.%d.%d:0", c.number, host), "--count", fmt.Sprint(c.topology.targets),
		"--service", name, "--region", p.region, "--failure-domain", p.domain,
	}, c.topology.args...)
	found, err := c.startStandin(name, c.topology.targets, args...)
	if err != nil {
		return err
	}
	for _, f := range found {
		t := inventory.Target{Name: f[1], Address: f[2], FailureDomain: p.domain}
		s.Targets = append(s.Targets, t)
		c.targets[t.Name] = t
	}
	return nil
}

// addVM starts one more entry VM.
func (c *cluster) addVM(p place, args ...string) error {
	v := &entryVM{place: p, id: fmt.Sprintf("vm-%s-%d", p.domain, len(c.vms)+1), store: c.platform}
	for _, a := range []*string{&v.caller, &v.operator, &v.sibling} {
		var err error
		if *a, err = c.address(len(c.vms) + 1); err != nil {
			return err
		}
	}
	v.announced = v.sibling
	if c.topology.link != nil {
		// Bytes from the region of this VM count as BToA.
		relay, err := c.topology.link.StartProxy("127.0.0.1:0", v.sibling, netem.AToB)
		if err != nil {
			return err
		}
		v.announced = relay.Address()
		if len(c.vms) > 0 { // the store stands in the region of the first VM
			if relay, err = c.topology.link.StartProxy("127.0.0.1:0", c.platform, netem.BToA); err != nil {
				return err
			}
			v.store = relay.Address()
		}
	}
	c.vms = append(c.vms, v)
	return c.startVM(v, args...)
}

// startVM starts the process of an entry VM, anew if it has ended.
func (c *cluster) startVM(v *entryVM, args ...string) error {
	p, err := startProcess(v.id, "goldcresthinged", append([]string{
		"--id", v.id, "--region", v.place.region, "--failure-domain", v.place.domain,
		"--caller-listen", v.caller, "--operator-listen", v.operator, "--sibling-listen", v.sibling,
		"--sibling-address", v.announced, "--platform", "http://" + v.store,
	}, args...)...)
	if err != nil {
		return err
	}
	v.process = p
	c.processes = append(c.processes, p)
	return nil
}

func (c *cluster) firstVersion() error {
	end := time.Now().Add(startTimeout)
	for c.get(c.vms[0].operator, "/v1/healthz", nil) != nil && time.Now().Before(end) {
		time.Sleep(pollInterval)
	}
	code, out, err := c.tool(c.vms[0], "apply", "--base", "0", "--wait", "10s", c.file("first", c.document))
	if err != nil || code != 0 {
		return fmt.Errorf("first version: code %d, %w\n%s", code, err, out)
	}
	for ; time.Now().Before(end); time.Sleep(pollInterval) {
		if !slices.ContainsFunc(c.vms, func(v *entryVM) bool { return !c.ready(v) || len(c.holders(v, "")) < 2 }) {
			return nil
		}
	}
	return errors.New("not every VM is ready, or a pool has no holder")
}

// end ends every process of the cluster.
func (c *cluster) end() {
	for _, p := range c.processes {
		p.end()
	}
	if c.topology.link != nil {
		c.topology.link.Close()
	}
}

// dumpLogs adds the logs of the VMs to the report of a failed spec.
func (c *cluster) dumpLogs() {
	if CurrentSpecReport().Failed() {
		for _, v := range c.vms {
			AddReportEntry(v.id, v.log.String())
		}
	}
}

// file writes a document to a file and returns its name.
func (c *cluster) file(name string, d inventory.Document) string {
	data, err := yaml.Marshal(d)
	if err == nil {
		name = filepath.Join(programs, fmt.Sprintf("%d-%s.yaml", c.number, name))
		err = os.WriteFile(name, data, 0o600)
	}
	if err != nil {
		panic(err)
	}
	return name
}

// tool runs the operator tool on a VM and returns its exit code.
func (c *cluster) tool(v *entryVM, args ...string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), toolTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(programs, "goldcresthingectl"), append([]string{"--address", v.operator}, args...)...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		err = ctx.Err()
	}
	return cmd.ProcessState.ExitCode(), string(out), err
}

func (c *cluster) send(method, address, path string, body, into any) error {
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
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s", resp.Status, answer)
	}
	switch into := into.(type) {
	case nil:
		return nil
	case *string:
		*into = string(answer)
		return nil
	default:
		return json.Unmarshal(answer, into)
	}
}

func (c *cluster) get(address, path string, into any) error {
	return c.send(http.MethodGet, address, path, nil, into)
}

func (c *cluster) ready(v *entryVM) bool { return c.get(v.operator, "/v1/readyz", nil) == nil }

// holders returns the VM that holds the pool of a service, by failure domain,
// as v sees it. Without a service it returns the holders of all pools, or none
// if a pool has no holder.
func (c *cluster) holders(v *entryVM, service string) map[string]string {
	var list []operatorapi.Holder
	if c.get(v.operator, "/v1/holders", &list) != nil {
		return nil
	}
	held := map[string]string{}
	for _, h := range list {
		switch {
		case service == "" && h.Holder == "":
			return nil
		case service == "":
			held[h.Service+"@"+h.FailureDomain] = h.Holder
		case h.Service == service && h.Holder != "":
			held[h.FailureDomain] = h.Holder
		}
	}
	return held
}

func (c *cluster) vm(id string) *entryVM {
	i := slices.IndexFunc(c.vms, func(v *entryVM) bool { return v.id == id })
	Expect(i).To(BeNumerically(">=", 0), id)
	return c.vms[i]
}

// store sets the faults of the platform; none ends all faults.
func (c *cluster) store(faults ...standin.Fault) {
	GinkgoHelper()
	if faults == nil {
		faults = []standin.Fault{}
	}
	Expect(c.send(http.MethodPost, c.platform, standin.PathFaults, standin.Conditions{Faults: faults}, nil)).To(Succeed())
}

// records returns what the targets whose names start with prefix saw.
func (c *cluster) records(prefix string) []fakebackend.Record {
	GinkgoHelper()
	var records []fakebackend.Record
	for name, t := range c.targets {
		if strings.HasPrefix(name, prefix) {
			var r fakebackend.Record
			// A target that is down does not answer until it is back.
			Eventually(func() error { return c.get(t.Address, "/record", &r) }, waitTimeout, pollInterval).Should(Succeed())
			records = append(records, r)
		}
	}
	return records
}
