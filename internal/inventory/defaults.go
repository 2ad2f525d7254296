package inventory

// Defaults of the routing configuration, in the units of the fields they are for.
const (
	DefaultSlots               = 2
	DefaultConnections         = 220
	DefaultProbesPerSecond     = 0.2
	DefaultColdRate            = 10.0
	DefaultCallTimeoutMs       = 2000
	DefaultDeadlineMs          = 2000
	DefaultProbeBytesPerSecond = 20000.0
	DefaultLinkBytesPerSecond  = 750000.0
)

// SetDefaults sets every field that has a default and is zero to its default.
func (d *Document) SetDefaults() {
	for i := range d.Regions {
		setDefault(&d.Regions[i].ProbeBytesPerSecond, DefaultProbeBytesPerSecond)
	}
	for i := range d.Links {
		setDefault(&d.Links[i].BytesPerSecond, DefaultLinkBytesPerSecond)
	}
	for i := range d.Services {
		s := &d.Services[i]
		setDefault(&s.Slots, DefaultSlots)
		setDefault(&s.MaxConnections, DefaultConnections)
		setDefault(&s.ProbesPerSecond, DefaultProbesPerSecond)
		setDefault(&s.ColdRate, DefaultColdRate)
		setDefault(&s.CallTimeoutMs, DefaultCallTimeoutMs)
	}
	for i := range d.Rules.Routes {
		setDefault(&d.Rules.Routes[i].DeadlineMs, DefaultDeadlineMs)
	}
}

func setDefault[T int | float64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
