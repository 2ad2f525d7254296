// Package settings reads the command-line settings of the daemon from flags and
// environment variables: the identity of the VM, the addresses and the limits of
// the process. Settings that may change while the process runs are in the
// configuration document.
package settings

import (
	"time"

	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Settings holds the command-line settings of a VM of the load balancer. They do
// not change while the process runs. Each field can be set by a flag or by the
// environment variable of the same name, in capitals, with _ for - and the prefix
// GOLDCRESTHINGE_. A flag overrides its environment variable.
type Settings struct {
	// ID is the name of this VM. It must be unique among all VMs and stay the
	// same when the process is restarted. Required.
	ID string `arg:"--id" help:"unique name of this VM"`
	// Region is the region of this VM. Required.
	Region string `arg:"--region" help:"region of this VM"`
	// FailureDomain is the failure domain of this VM. Required.
	FailureDomain string `arg:"--failure-domain" help:"failure domain of this VM"`

	// CallerListen is the listen address for callers. IP address and port.
	// Default: 127.0.0.1:8080.
	CallerListen string `arg:"--caller-listen" default:"127.0.0.1:8080" help:"address for callers (IP:port)"`
	// OperatorListen is the listen address for operators. IP address and port.
	// Default: 127.0.0.1:8081.
	OperatorListen string `arg:"--operator-listen" default:"127.0.0.1:8081" help:"address for operators (IP:port)"`
	// SiblingListen is the listen address for siblings. IP address and port.
	// Default: 127.0.0.1:8082.
	SiblingListen string `arg:"--sibling-listen" default:"127.0.0.1:8082" help:"address for siblings (IP:port)"`
	// SiblingAddress is the address to which siblings connect in order to reach
	// SiblingListen. IP address and port. Default: SiblingListen. Required if
	// SiblingListen is an unspecified address such as 0.0.0.0.
	SiblingAddress string `arg:"--sibling-address" help:"address that siblings connect to (IP:port), default: that of --sibling-listen"`
	// Platform is the address of the platform's table, object store and list
	// of VMs: http://IP:port or https://IP:port. Required.
	Platform string `arg:"--platform" help:"URL of the platform's services (http://IP:port)"`
	// Seeds are the addresses of siblings that this VM contacts before it knows
	// any sibling; for example, it requests the configuration from them when the
	// store is down. IP addresses and ports, separated by commas. Default: none.
	Seeds []string `arg:"--seeds" help:"sibling addresses to ask when the store is down (IP:port,...)"`

	// DrainLead is the time, at a planned stop, from the moment at which this VM
	// reports that it is not ready until it starts to hand over its pools. In
	// this time the load balancer in front of the entry VMs, which belongs to the
	// platform, redirects callers to other VMs.
	// Unit: a duration such as 2s. Range: 0 to 10m. Default: 2s.
	DrainLead time.Duration `arg:"--drain-lead" default:"2s" help:"time from readiness off to the handover of pools"`
	// LogFormat is logfmt or json. Default: logfmt.
	LogFormat string `arg:"--log-format" default:"logfmt" help:"logfmt or json"`

	// ServiceConcurrency limits the calls of one service that are in progress at
	// this VM at the same time, including those that wait. Unit: calls.
	// Default: 4096.
	ServiceConcurrency int `arg:"--service-concurrency" default:"4096" help:"calls of one service in progress at once"`
	// QueueLimit limits the calls of one service that wait at this VM at the
	// same time. Unit: calls. Default: 256.
	QueueLimit int `arg:"--queue-limit" default:"256" help:"calls of one service that wait"`
	// MaxBodyBytes limits the body of one request, which is kept in memory until
	// the call is sent. Unit: bytes. Default: 1048576.
	MaxBodyBytes int `arg:"--max-body-bytes" default:"1048576" help:"bytes of the body of one request"`
	// RetryShare limits the retries and hedged requests of each service at this
	// VM. Unit: share of the first attempts, 0 to 0.2. Default: 0.1.
	RetryShare float64 `arg:"--retry-share" default:"0.1" help:"retries per first attempt"`
	// LoadNewsBytesPerSecond limits the data rate of the load reports (counts of
	// free slots) that this VM attaches to its responses to siblings. Unit: bytes/s. Default: 800.
	LoadNewsBytesPerSecond float64 `arg:"--load-news-bytes-per-s" default:"800" help:"bytes/s of free-slot counts to siblings"`
	// ClaimDeletesPerSecond limits the rate at which this VM deletes old claims
	// from the table. Unit: rows/s. Default: 200.
	ClaimDeletesPerSecond int `arg:"--claim-deletes-per-s" default:"200" help:"old claims deleted per second"`
}

// VM returns the identity of this VM without its incarnation, which is chosen when
// the VM registers.
func (s *Settings) VM() vm.Info {
	return vm.Info{
		ID: vm.ID(s.ID), Region: s.Region, FailureDomain: s.FailureDomain, SiblingAddress: s.SiblingAddress,
	}
}
