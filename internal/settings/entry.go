package settings

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// EntrySettings holds the command-line settings of the command goldcresthinged
// entry, which runs a VM of the load balancer on the platform of package platform
// at the root of the module. All other settings of that command come from the
// platform's settings file and from its store. Settings are those of
// goldcresthinged without entry.
type EntrySettings struct {
	// NodeFile is the path of the platform's settings file of this VM.
	// Required.
	NodeFile string `arg:"--node-file,required,env:NODE_FILE" help:"path of the platform's settings file"`
	// MetricsListen is the listen address for metrics and the state dump. IP
	// address and port. Default: not served.
	MetricsListen string `arg:"--metrics-listen,env:METRICS_LISTEN" help:"address for metrics and the state dump (IP:port)"`
	// LogFormat is logfmt or json. Default: logfmt.
	LogFormat string `arg:"--log-format,env:LOG_FORMAT" default:"logfmt" help:"logfmt or json"`
	// MaxResponseHeaderBytes limits the headers that a backend server may send for one
	// request, in bytes, from 1024 to 262144. Default: 32768.
	MaxResponseHeaderBytes int `arg:"--max-response-header-bytes,env:MAX_RESPONSE_HEADER_BYTES" default:"32768" help:"limit of the response headers of a backend server for one request, in bytes (1024 to 262144)"`
	// MaxBufferedBytes limits the bytes of request and response bodies kept in memory
	// for all requests together, from 1048576 to 1073741824. Default: 33554432.
	MaxBufferedBytes int64 `arg:"--max-buffered-bytes,env:MAX_BUFFERED_BYTES" default:"33554432" help:"limit of the bytes of bodies kept in memory for all requests, in bytes (1048576 to 1073741824)"`
	// MaxRequestHeaderLines limits the lines of the head of a request, from 16 to 65536.
	// Default: 4096, which no head of 16 KB exceeds.
	MaxRequestHeaderLines int `arg:"--max-request-header-lines,env:MAX_REQUEST_HEADER_LINES" default:"4096" help:"limit of the lines of a request's head (16 to 65536)"`
	// MaxRequestHeaderLineBytes limits one line of the head of a request, in bytes, from 1024
	// to 1048576. Default: 65536.
	MaxRequestHeaderLineBytes int `arg:"--max-request-header-line-bytes,env:MAX_REQUEST_HEADER_LINE_BYTES" default:"65536" help:"limit of one line of a request's head, in bytes (1024 to 1048576)"`
	// Spillover is on or off. If it is on, the VMs plan from shared counts which requests leave
	// their region and how the servers of a region are divided among regions; if it is off,
	// fixed time penalties alone decide. It has no effect within one region. Default: on.
	Spillover string `arg:"--spillover,env:SPILLOVER" default:"on" help:"plan which requests leave their region from counts of all VMs: on or off"`
	// SpilloverMaxShare limits the share of the requests of a failure domain that may leave its
	// region as planned, from 0 to 1. Requests that may be served in other regions only are not
	// limited. Default: 1.
	SpilloverMaxShare float64 `arg:"--spillover-max-share,env:SPILLOVER_MAX_SHARE" default:"1" help:"largest share of requests that leave their region as planned (0 to 1)"`
	// SpilloverMaxBytesPerSecond limits the bodies of the requests that leave a region for
	// another one as planned, and of their responses, for each service, in bytes/s of all VMs
	// together, from 0 to 1e12. 0 stands for no limit. Default: 0.
	SpilloverMaxBytesPerSecond float64 `arg:"--spillover-max-bytes-per-s,env:SPILLOVER_MAX_BYTES_PER_S" default:"0" help:"limit of the bytes of requests that leave their region as planned, and of their responses, in bytes/s for each service and pair of regions; 0: none"`
}

// maxSpilloverBytes is the largest SpilloverMaxBytesPerSecond.
const maxSpilloverBytes = 1e12

// The ranges of the limits.
const (
	minResponseHeaderLimit = 1 << 10
	maxResponseHeaderLimit = 256 << 10
	minBufferedLimit       = 1 << 20
	maxBufferedLimit       = 1 << 30
	minHeaderLinesLimit    = 16
	maxHeaderLinesLimit    = 64 << 10
	minHeaderLineLimit     = 1 << 10
	maxHeaderLineLimit     = 1 << 20
)

// ParseEntrySettings reads the settings from args, which does not include the names
// of the program and the command, and from the environment; a flag overrides its
// environment variable. If args ask for help, it writes the usage to usage and
// returns ErrHelp.
func ParseEntrySettings(args []string, usage io.Writer) (EntrySettings, error) {
	var e EntrySettings
	p, err := arg.NewParser(arg.Config{Program: "goldcresthinged entry", EnvPrefix: EnvPrefix}, &e)
	if err != nil {
		return EntrySettings{}, err
	}
	if err := p.Parse(args); err != nil {
		if errors.Is(err, arg.ErrHelp) {
			p.WriteHelp(usage)
			return EntrySettings{}, ErrHelp
		}
		return EntrySettings{}, err
	}
	if e.LogFormat != "logfmt" && e.LogFormat != "json" {
		return EntrySettings{}, fmt.Errorf("--log-format (%sLOG_FORMAT): %q is neither logfmt nor json", EnvPrefix, e.LogFormat)
	}
	for _, l := range []struct {
		flag, variable, unit string
		value, least, most   int64
	}{
		{"--max-response-header-bytes", "MAX_RESPONSE_HEADER_BYTES", "bytes", int64(e.MaxResponseHeaderBytes), minResponseHeaderLimit, maxResponseHeaderLimit},
		{"--max-buffered-bytes", "MAX_BUFFERED_BYTES", "bytes", e.MaxBufferedBytes, minBufferedLimit, maxBufferedLimit},
		{"--max-request-header-lines", "MAX_REQUEST_HEADER_LINES", "lines", int64(e.MaxRequestHeaderLines), minHeaderLinesLimit, maxHeaderLinesLimit},
		{"--max-request-header-line-bytes", "MAX_REQUEST_HEADER_LINE_BYTES", "bytes", int64(e.MaxRequestHeaderLineBytes), minHeaderLineLimit, maxHeaderLineLimit},
	} {
		if l.value < l.least || l.value > l.most {
			return EntrySettings{}, fmt.Errorf("%s (%s%s): %d %s is outside of %d to %d %s", l.flag, EnvPrefix, l.variable, l.value, l.unit, l.least, l.most, l.unit)
		}
	}
	if e.Spillover != "on" && e.Spillover != "off" {
		return EntrySettings{}, fmt.Errorf("--spillover (%sSPILLOVER): %q is neither on nor off", EnvPrefix, e.Spillover)
	}
	if s := e.SpilloverMaxShare; !(s >= 0 && s <= 1) { //nolint:staticcheck // the negated form also rejects NaN
		return EntrySettings{}, fmt.Errorf("--spillover-max-share (%sSPILLOVER_MAX_SHARE): %v is outside of 0 to 1", EnvPrefix, s)
	}
	if n := e.SpilloverMaxBytesPerSecond; !(n >= 0 && n <= maxSpilloverBytes) { //nolint:staticcheck // the negated form also rejects NaN
		return EntrySettings{}, fmt.Errorf("--spillover-max-bytes-per-s (%sSPILLOVER_MAX_BYTES_PER_S): %v bytes/s is outside of 0 to 1e12 bytes/s", EnvPrefix, n)
	}
	return e, nil
}
