package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"text/template"
	"time"
)

// deployment holds what the settings files of all machines have in common.
type deployment struct {
	Zones     []zone
	Store     string // address
	Contracts string // list in TOML
	Bounds    string // lines of TOML
}

type zone struct{ Name, Region string }

// machine is a machine that runs one process of the daemon, started as deploy/system.toml says.
type machine struct {
	Name, IP, Zone, Region string
	Front, Ready           string
	FirstPort, LastPort    int
	Bootstrap              bool
	Deployment             *deployment

	dir     string
	record  *record
	process *exec.Cmd
	ended   chan struct{}
}

// settingsTemplate is the settings file as `fleetbench wire` shows it.
var settingsTemplate = template.Must(template.New("settings").Parse(`[self]
node = "{{.Name}}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{{.IP}}"
zone = "{{.Zone}}"
region = "{{.Region}}"
counts_as_loss = false
bootstrap = {{.Bootstrap}}

[self.limits]
cpu_share = 1.0
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0

[network]
internal_ports = [{{.FirstPort}},{{.LastPort}}]
seeds = []

[network.listen]
front = "{{.Front}}"
ready = "{{.Ready}}"

[network.zones]
{{range .Deployment.Zones}}{{.Name}} = "{{.Region}}"
{{end}}
[platform]
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500

[platform.platform]
address = "{{.Deployment.Store}}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_per_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0

[terms]
contracts = {{.Deployment.Contracts}}

[terms.tolerate]
machines = 2
zones = 1
regions = 0

[terms.bounds]
{{.Deployment.Bounds}}`))

// freePort returns a port of ip that is free at present.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newMachine chooses the ports of a machine and writes its settings file to dir.
func newMachine(rec *record, dir, name, ip string, z zone, d *deployment) (*machine, error) {
	m := &machine{Name: name, IP: ip, Zone: z.Name, Region: z.Region, Bootstrap: true, Deployment: d, dir: dir, record: rec}
	var ports [3]int
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	m.Front, m.Ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	m.FirstPort, m.LastPort = ports[2], ports[2]
	return m, m.writeSettings()
}

func (m *machine) settingsFile() string { return filepath.Join(m.dir, m.Name+".toml") }

func (m *machine) writeSettings() error {
	var text strings.Builder
	if err := settingsTemplate.Execute(&text, m); err != nil {
		return err
	}
	return os.WriteFile(m.settingsFile(), []byte(text.String()), 0o600)
}

// start starts the process in the root of the repository.
func (m *machine) start(root string, words []string) error {
	log, err := os.OpenFile(filepath.Join(m.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := make([]string, len(words))
	for i, w := range words {
		args[i] = strings.ReplaceAll(w, "{{self.ip}}", m.IP)
	}
	cmd := exec.Command(filepath.Join(root, args[0]), args[1:]...) //nolint:gosec // the daemon of this repository
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.dir, "GOLDCRESTHINGE_NODE_FILE=" + m.settingsFile()}
	// If this program is killed, the kernel ends the process too.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	m.process, m.ended = cmd, make(chan struct{})
	m.record.printf("machine %s in %s starts as process %d: %s", m.Name, m.Zone, cmd.Process.Pid, strings.Join(args, " "))
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		m.record.printf("process %d of machine %s ended: %v", cmd.Process.Pid, m.Name, err)
		close(m.ended)
	}()
	return nil
}

// restart kills the process and starts it again some time after its end, no longer as a part of the first
// start of the whole system.
func (m *machine) restart(root string, words []string, pause time.Duration) error {
	m.record.printf("machine %s is killed", m.Name)
	_ = m.process.Process.Kill()
	<-m.ended
	time.Sleep(pause)
	m.Bootstrap = false
	if err := m.writeSettings(); err != nil {
		return err
	}
	return m.start(root, words)
}

// running reports whether the process runs.
func (m *machine) running() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// close kills the process and waits for its end.
func (m *machine) close() {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Kill()
	select {
	case <-m.ended:
	case <-time.After(5 * time.Second):
	}
}
