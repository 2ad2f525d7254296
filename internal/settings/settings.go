// Package settings reads the start settings of the daemon from flags and
// environment variables. They say who the process is and where it listens; all
// that may change while it runs is in the configuration document.
package settings

import (
	"time"

	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Settings are the start settings of an entry VM. They do not change while the
// process runs. Each field can be given as a flag or as the environment
// variable of the same name with the prefix GOLDCRESTHINGE_; the flag wins.
type Settings struct {
	// ID names this VM. It is unique among all VMs and stays the same when the
	// process is restarted. Required.
	ID string `arg:"--id" help:"unique name of this VM"`
	// Region is the region that this VM stands in. Required.
	Region string `arg:"--region" help:"region of this VM"`
	// FailureDomain is the failure domain that this VM stands in. Required.
	FailureDomain string `arg:"--failure-domain" help:"failure domain of this VM"`

	// CallerListen is the address for callers. IP address and port.
	// Default: 127.0.0.1:8080.
	CallerListen string `arg:"--caller-listen" default:"127.0.0.1:8080" help:"address for callers (IP:port)"`
	// OperatorListen is the address for operators. IP address and port.
	// Default: 127.0.0.1:8081.
	OperatorListen string `arg:"--operator-listen" default:"127.0.0.1:8081" help:"address for operators (IP:port)"`
	// SiblingListen is the address for siblings. IP address and port.
	// Default: 127.0.0.1:8082.
	SiblingListen string `arg:"--sibling-listen" default:"127.0.0.1:8082" help:"address for siblings (IP:port)"`
	// SiblingAddress is the address at which siblings reach SiblingListen. IP
	// address and port. Default: SiblingListen.
	SiblingAddress string `arg:"--sibling-address" help:"address that siblings connect to (IP:port), default: that of --sibling-listen"`
	// Platform is the address of the platform's table, object store and list
	// of VMs: http://IP:port or https://IP:port. Required.
	Platform string `arg:"--platform" help:"URL of the platform's services (http://IP:port)"`
	// Seeds are sibling addresses to ask for the configuration when the store
	// is down. IP addresses and ports, separated by commas. Default: none.
	Seeds []string `arg:"--seeds" help:"sibling addresses to ask when the store is down (IP:port,...)"`

	// DrainLead is the time between readiness off and the handover of pools at
	// a planned stop, in which the platform's balancer turns callers to other
	// VMs. Unit: a duration such as 2s. Default: 2s.
	DrainLead time.Duration `arg:"--drain-lead" default:"2s" help:"time from readiness off to the handover of pools"`
	// LogFormat is logfmt or json. Default: logfmt.
	LogFormat string `arg:"--log-format" default:"logfmt" help:"logfmt or json"`

	// ServiceConcurrency bounds the calls of one service that this VM has in
	// progress at once, waiting ones included. Unit: calls. Default: 4096.
	ServiceConcurrency int `arg:"--service-concurrency" default:"4096" help:"calls of one service in progress at once"`
	// QueueLimit bounds the calls of one service that wait at this VM. Unit:
	// calls. Default: 256.
	QueueLimit int `arg:"--queue-limit" default:"256" help:"calls of one service that wait"`
	// MaxBodyBytes bounds the body of one request, which is kept in memory
	// until the call is sent. Unit: bytes. Default: 1048576.
	MaxBodyBytes int `arg:"--max-body-bytes" default:"1048576" help:"bytes of the body of one request"`
	// RetryShare bounds retries and hedged requests per service and VM. Unit:
	// share of first attempts, 0 to 0.2. Default: 0.1.
	RetryShare float64 `arg:"--retry-share" default:"0.1" help:"retries per first attempt"`
	// LoadNewsBytesPerSecond bounds the free-slot counts that this VM attaches
	// to responses. Unit: bytes/s. Default: 800.
	LoadNewsBytesPerSecond float64 `arg:"--load-news-bytes-per-s" default:"800" help:"bytes/s of free-slot counts to siblings"`
	// ClaimDeletesPerSecond paces the deletion of old claims. Unit: rows/s.
	// Default: 200.
	ClaimDeletesPerSecond int `arg:"--claim-deletes-per-s" default:"200" help:"old claims deleted per second"`
}

// VM returns the identity of this VM; the incarnation is drawn when it
// registers.
func (s *Settings) VM() vm.Info {
	return vm.Info{
		ID: vm.ID(s.ID), Region: s.Region, FailureDomain: s.FailureDomain, SiblingAddress: s.SiblingAddress,
	}
}
