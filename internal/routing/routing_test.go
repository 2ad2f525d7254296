package routing_test

import (
	"testing"

	"goldcresthinge.example/goldcresthinge/internal/routing"
)

func newTable() *routing.Table {
	return routing.NewTable(&routing.Configuration{
		Version: 3,
		Routes: []routing.Route{
			{Name: "all", Host: "A.example", Prefix: "/", Backends: []routing.WeightedService{{Service: "s1", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/p/q/", Backends: []routing.WeightedService{{Service: "s1", Weight: 1}}, HomeRegions: []string{"east"}},
			{Name: "p", Host: "a.example", Prefix: "/p/", Backends: []routing.WeightedService{{Service: "s2", Weight: 90}, {Service: "s3", Weight: 10}}},
		},
	})
}

// Guards against a request that is routed by a shorter prefix than the longest
// matching one, or by a route of another host.
func TestMatchTakesLongestPrefixOfTheHost(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/p/q/x", "deep"},
		{"a.example:8080", "/p/x", "p"},
		{"A.EXAMPLE", "/x", "all"},
		{"a.example", "/px", "all"},
		{"b.example", "/p/x", ""},
	} {
		r, ok := newTable().Match(c.host, c.path)
		if ok != (c.want != "") || (ok && r.Name != c.want) {
			t.Errorf("%s%s: got %v, want %q", c.host, c.path, r, c.want)
		}
	}
}

// Guards against services that receive other shares of requests than their
// weights.
func TestPickServiceFollowsWeights(t *testing.T) {
	r, _ := newTable().Match("a.example", "/p/")
	counts := map[string]int{}
	for i := range 1000 {
		s, ok := r.PickService((float64(i) + 0.5) / 1000)
		if !ok {
			t.Fatal("no service picked")
		}
		counts[s]++
	}
	if counts["s2"] != 900 || counts["s3"] != 100 {
		t.Errorf("requests by service: %v; want 900 for s2 and 100 for s3", counts)
	}
	if _, ok := (&routing.Route{}).PickService(0); ok {
		t.Error("PickService returned a service for a route without services")
	}
}

// Guards against readings that are not sent to a region whose callers need them. If
// one of a service's routes excludes the servers of the callers' own region, their
// requests may be sent to the servers of another region.
func TestAnyRouteExcludes(t *testing.T) {
	for _, c := range []struct {
		service, region string
		want            bool
	}{{"s1", "west", true}, {"s1", "east", false}, {"s2", "west", false}} {
		if got := newTable().AnyRouteExcludes(c.service, c.region); got != c.want {
			t.Errorf("AnyRouteExcludes(%s, %s) = %v, want the opposite", c.service, c.region, got)
		}
	}
}
