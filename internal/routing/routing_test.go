package routing_test

import (
	"testing"

	"goldcresthinge.example/goldcresthinge/internal/routing"
)

func table() *routing.Table {
	return routing.NewTable(&routing.Configuration{
		Version: 3,
		Routes: []routing.Route{
			{Name: "all", Host: "A.example", Prefix: "/", Backends: []routing.WeightedService{{Service: "s1", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/p/q/", Backends: []routing.WeightedService{{Service: "s1", Weight: 1}}, HomeRegions: []string{"ost"}},
			{Name: "p", Host: "a.example", Prefix: "/p/", Backends: []routing.WeightedService{{Service: "s2", Weight: 90}, {Service: "s3", Weight: 10}}},
		},
	})
}

// Guards against a request that goes to the service of a shorter prefix or of
// another host.
func TestMatchTakesLongestPrefixOfTheHost(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/p/q/x", "deep"},
		{"a.example:8080", "/p/x", "p"},
		{"A.EXAMPLE", "/x", "all"},
		{"a.example", "/px", "all"},
		{"b.example", "/p/x", ""},
	} {
		r, ok := table().Match(c.host, c.path)
		if ok != (c.want != "") || (ok && r.Name != c.want) {
			t.Errorf("%s%s: got %v, want %q", c.host, c.path, r, c.want)
		}
	}
}

// Guards against shares that differ from the weights.
func TestPickServiceFollowsWeights(t *testing.T) {
	r, _ := table().Match("a.example", "/p/")
	counts := map[string]int{}
	for i := range 1000 {
		s, ok := r.PickService((float64(i) + 0.5) / 1000)
		if !ok {
			t.Fatal("no service picked")
		}
		counts[s]++
	}
	if counts["s2"] != 900 || counts["s3"] != 100 {
		t.Errorf("shares %v", counts)
	}
	if _, ok := (&routing.Route{}).PickService(0); ok {
		t.Error("a route without services picked one")
	}
}

// Guards against readings that are withheld from a region whose callers need
// servers of another.
func TestBoundAway(t *testing.T) {
	for _, c := range []struct {
		service, region string
		want            bool
	}{{"s1", "west", true}, {"s1", "ost", false}, {"s2", "west", false}} {
		if got := table().AnyRouteExcludes(c.service, c.region); got != c.want {
			t.Errorf("BoundAway(%s, %s) = %v", c.service, c.region, got)
		}
	}
}
