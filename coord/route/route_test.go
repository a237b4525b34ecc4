package route

import (
	"testing"
	"time"
)

func document(routes ...Route) *Document {
	return &Document{Version: 1, Routes: routes, Services: []Service{{Name: "plan"}, {Name: "desk"}}}
}

func valid(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Kind: KindSafe, Timeout: time.Second, Split: []Share{{Service: "desk", Weight: 1}}}
}

func TestDocumentCheck(t *testing.T) {
	changed := func(f func(*Route)) *Document {
		r := valid("a", "h", "/a/")
		f(&r)
		return document(r)
	}
	tests := []struct {
		name     string
		document *Document
		ok       bool
	}{
		{"valid", document(valid("a", "h", "/a/"), valid("b", "h", "/a/b/")), true},
		{"same prefix at another host", document(valid("a", "h", "/a/"), valid("b", "i", "/a/")), true},
		{"same host and prefix", document(valid("a", "h", "/a/"), valid("b", "h", "/a/")), false},
		{"unknown service", changed(func(r *Route) { r.Split[0].Service = "gone" }), false},
		{"weights of 0", changed(func(r *Route) { r.Split[0].Weight = 0 }), false},
		{"a weight below 0", changed(func(r *Route) { r.Split = []Share{{"desk", 3}, {"plan", -1}} }), false},
		{"weights that overflow", changed(func(r *Route) { r.Split = []Share{{"desk", maxSplitWeight}, {"plan", maxSplitWeight}} }), false},
		{"no timeout", changed(func(r *Route) { r.Timeout = 0 }), false},
		{"prefix without a last slash", changed(func(r *Route) { r.Prefix = "/a" }), false},
		{"unknown kind", changed(func(r *Route) { r.Kind = "often" }), false},
		{"a service twice", &Document{Services: []Service{{Name: "a"}, {Name: "a"}}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := test.document.Check(); (err == nil) != test.ok {
				t.Errorf("Check returned %v, want ok = %v", err, test.ok)
			}
		})
	}
}

func TestLookupUsesLongestPrefix(t *testing.T) {
	table := NewTable(document(valid("short", "h", "/a/"), valid("long", "h", "/a/b/"), valid("other", "i", "/a/b/c/")))
	tests := []struct{ host, path, want string }{
		{"h", "/a/x", "short"},
		{"h", "/a/b/x", "long"},
		{"h", "/a/b/c/x", "long"},
		{"h:8080", "/a/b/", "long"},
		{"i", "/a/b/x", ""},
		{"h", "/a", ""},
		{"j", "/a/", ""},
	}
	for _, test := range tests {
		got := ""
		if r := table.Lookup(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("Lookup(%q, %q) = %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Split: []Share{{"a", 90}, {"none", 0}, {"b", 10}}}
	counts := make(map[string]int)
	const draws = 1000
	for i := range draws {
		counts[r.Pick(float64(i)/draws)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("services were picked %v, want a 900 times and b 100 times", counts)
	}
}

func TestIdempotent(t *testing.T) {
	tests := []struct {
		route Route
		want  bool
	}{
		{Route{Kind: KindSafe}, true},
		{Route{Kind: KindUnsafe, Resumable: true}, false},
		{Route{Kind: KindStream}, false},
		{Route{Kind: KindStream, Resumable: true}, true},
	}
	for _, test := range tests {
		if got := test.route.Idempotent(); got != test.want {
			t.Errorf("%+v: idempotent = %v, want %v", test.route, got, test.want)
		}
	}
}
